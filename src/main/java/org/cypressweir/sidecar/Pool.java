package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.ClientRequest.Attempt;
import org.cypressweir.sidecar.admin.SidecarMetrics.Ending;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * One load balancer and its servers. It turns what happens to requests into events for the load balancer and carries
 * out the load balancer's actions on connections; it decides nothing itself.
 *
 * <p>Confined to the event loop. It is retired when an operators' file no longer has it, or closed with the process.
 */
final class Pool implements Cluster, Actions, ServerPool.Listener {

    /**
     * The load balancer ends its requests at their deadline; the pool ends those that are still open this much later.
     */
    private static final long DEADLINE_GRACE_MICROS = 5_000;

    private static final int MICROS_PER_MILLI = 1000;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final InFlightRequests inFlight;
    private final Runnable subscribe;
    private final Consumer<String> log;
    private final LoadBalancer loadBalancer;
    private final LoadBalancerEvents events;
    private final ServerPool servers;
    private final RequestCompletion completion;
    private final boolean isProbingAllowed;
    private final long connectMicros;
    private Settings settings;
    private boolean sendsRetryAfter;
    private long maxRetryAfterMicros;
    /** Null where probes are disabled or no fleet share limits them. */
    private HealthProber prober;

    /** What a pool shares with the rest of the process. */
    record Shared(
            EventLoop loop, SidecarClock clock, InFlightRequests inFlight, Runnable subscribe, Consumer<String> log) {}

    /** @param tunnels the limits of upgraded connections; null where nothing switches to another protocol */
    Pool(
            Shared shared,
            SidecarConfiguration config,
            Settings settings,
            int connections,
            PoolConfiguration.TunnelLimits tunnels,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancerFactory) {
        loop = shared.loop();
        clock = shared.clock();
        inFlight = shared.inFlight();
        subscribe = shared.subscribe();
        log = shared.log();
        events = new LoadBalancerEvents(clock, this::eventFailed);
        completion = new RequestCompletion(loop, inFlight);
        loadBalancer = loadBalancerFactory.apply(settings, this);
        this.settings = settings;
        sendsRetryAfter = settings.limits().retryAdvice();
        maxRetryAfterMicros = settings.limits().maxRetryAdviceMicros();
        isProbingAllowed = settings.limits().probing();
        connectMicros = config.connectTimeoutMicros();
        servers = new ServerPool(loop, clock, config, connections, tunnels, this);
    }

    private void eventFailed(ClientRequest request, Throwable failure) {
        log("request " + (request == null ? "-" : request.request.id()) + ": " + failure);
        if (request != null) {
            abort(request, HttpResponseStatus.INTERNAL_SERVER_ERROR);
        }
    }

    // ---- Servers

    @Override
    public boolean ready() {
        return servers.hasServerInService();
    }

    @Override
    public int knownServers() {
        return servers.size();
    }

    @Override
    public long waitingBytes() {
        return servers.waitingBytes();
    }

    @Override
    public int listedServers() {
        return servers.listedCount();
    }

    @Override
    public int avoidedServers() {
        return servers.outOfServiceCount() + loadBalancer.ejectedServers(clock.micros());
    }

    @Override
    public ServerList serverList() {
        return servers.currentList();
    }

    @Override
    public void updateServers(ListKind kind, ServerList list) {
        servers.update(list);
        events.deliver(null, now -> loadBalancer.servers(now, kind, list.servers()));
    }

    @Override
    public void discoveryFailed() {
        events.deliver(null, now -> loadBalancer.servers(now, ListKind.FAILED, List.of()));
    }

    // ---- Configuration

    @Override
    public boolean isCompatibleWith(PoolConfiguration configuration) {
        return configuration.cells() == null;
    }

    @Override
    public void applyLimits(PoolConfiguration configuration) {
        servers.setLimits(configuration.maxConnections(), configuration.tunnels());
        events.deliver(
                null,
                now -> loadBalancer.limits(
                        now, configuration.maxRequests(), configuration.maxQueued(), configuration.maxConnections()));
    }

    /** Replaces the limits on requests in flight, held requests and connections. */
    void setLimits(Limits next) {
        settings = settings.with(
                settings.limits().with(next.maxOpen(), next.maxQueued(), next.maxConnections()),
                settings.discoveryOnAsk());
        servers.setLimits(next.maxConnections(), null);
        events.deliver(null, now -> loadBalancer.limits(now, next.maxOpen(), next.maxQueued(), next.maxConnections()));
    }

    /** Replaces all settings except this pool's own limits on requests and connections. */
    @Override
    public void updateSettings(Settings next) {
        Limits own = settings.limits();
        Limits limits = next.limits().with(own.maxOpen(), own.maxQueued(), own.maxConnections());
        settings = settings.with(next.classes()).with(limits, settings.discoveryOnAsk());
        sendsRetryAfter = limits.retryAdvice();
        maxRetryAfterMicros = limits.maxRetryAdviceMicros();
        deliverSettings();
    }

    @Override
    public void setInstanceCount(int instances) {
        settings = settings.withReplicas(instances);
        deliverSettings();
    }

    private void deliverSettings() {
        Settings current = settings;
        events.deliver(null, now -> loadBalancer.reconfigure(now, current));
    }

    @Override
    public void closeSurplusIdle() {
        servers.closeSurplusIdle();
    }

    @Override
    public void setFleetShare(FleetShare share) {
        servers.setMaxIdle(share == null ? null : share::maxIdleConnections);
        prober = share == null || !isProbingAllowed
                ? null
                : new HealthProber(
                        loop,
                        clock,
                        connectMicros,
                        () -> share.tryAcquireProbe(clock.micros(), servers.size()),
                        (server, result, elapsed, report) ->
                                events.deliver(null, now -> loadBalancer.probed(now, server, result, elapsed, report)));
    }

    // ---- End

    /** The process is shutting down: closes idle connections and keeps none from now on. */
    void stopping() {
        servers.setMaxIdle(known -> 0);
    }

    @Override
    public void retire(Runnable whenRetired) {
        completion.setWhenEmpty(() -> {
            close();
            whenRetired.run();
        });
        updateServers(ListKind.COMPLETE, new ServerList(0, true, List.of()));
        events.deliver(null, loadBalancer::shutDown);
        completion.runIfEmpty();
    }

    @Override
    public void close() {
        servers.close();
    }

    // ---- Requests

    @Override
    public void accept(ClientRequest request) {
        request.pool = this;
        completion.began();
        long now = clock.micros();
        request.expiry = loop.schedule(
                () -> abort(request, HttpResponseStatus.GATEWAY_TIMEOUT),
                request.request.deadlineMicros() - now + DEADLINE_GRACE_MICROS,
                TimeUnit.MICROSECONDS);
        long retryAfterMicros = request.upgrade == null ? -1 : request.upgrade.admit(servers);
        if (retryAfterMicros >= 0) {
            refuse(request.request.id(), sendsRetryAfter ? RetryAfter.limit(maxRetryAfterMicros, retryAfterMicros) : 0);
            return;
        }
        events.deliver(request, at -> loadBalancer.request(at, request.request));
    }

    /**
     * Sends another handshake for an upgrade that a server has agreed to before, as a request of its own with these
     * headers.
     *
     * @param id the id of the new request; no request in flight has it
     */
    void repeatHandshake(
            ClientRequest first, String id, Upgrade upgrade, HttpHeaders headers, ClientRequest.Client client) {
        Request original = first.request;
        long timeoutMicros =
                Math.min(first.timeoutMicros, Long.parseLong(headers.get(Headers.TIMEOUT)) * MICROS_PER_MILLI);
        Request repeated = new Request(
                id,
                original.requestClass(),
                original.tenant(),
                false,
                original.key(),
                clock.micros() + timeoutMicros,
                0,
                original.write(),
                original.policy());
        ClientRequest request = new ClientRequest(
                repeated,
                new RouteDecision(
                        this, original.requestClass(), first.uri, null, timeoutMicros, original.policy(), upgrade),
                first.className,
                first.method,
                headers,
                Unpooled.EMPTY_BUFFER,
                client);
        if (inFlight.add(request)) {
            upgrade.accepted(request);
            accept(request);
        } else {
            upgrade.clientLeft();
        }
    }

    @Override
    public void clientDisconnected(ClientRequest request) {
        if (request.upgrade != null) {
            request.upgrade.clientLeft();
        }
        completion.finish(request, null);
        events.deliver(null, now -> loadBalancer.clientLeft(now, request.request.id()));
    }

    /** Responds without an action of the load balancer, because each request must get a response. */
    private void abort(ClientRequest request, HttpResponseStatus status) {
        if (!request.finished) {
            completion.respond(request, status, new DefaultHttpHeaders());
            events.deliver(null, now -> loadBalancer.clientLeft(now, request.request.id()));
        }
    }

    // ---- Attempts

    @Override
    public void attemptEnded(Attempt attempt, Result result, LoadReport report, FullHttpResponse response) {
        ClientRequest request = attempt.call;
        attempt.result = result;
        attempt.timeout.cancel(false);
        request.outstandingAttempts--;
        if (request.streamedAttempt == attempt) {
            completion.endStream(request, result == Result.SERVED);
        } else if (result == Result.SERVED && request.upgrade != null) {
            switchProtocols(request, attempt, response);
        } else if (result == Result.SERVED
                && !request.finished
                && request.streamedAttempt == null
                && response != null) {
            forwardResponse(request, response);
        }
        events.deliver(
                request,
                now -> loadBalancer.outcome(
                        now,
                        new Outcome(
                                request.request.id(),
                                attempt.number,
                                attempt.server,
                                result,
                                (attempt.streamedSince == 0 ? now : attempt.streamedSince) - attempt.sentAt,
                                request.finished,
                                report)));
        completion.forgetIfDone(request);
    }

    private void forwardResponse(ClientRequest request, FullHttpResponse response) {
        HttpHeaders headers = Headers.endToEnd(response.headers());
        headers.remove(Headers.LOAD);
        ClientRequest.Client client = request.client;
        request.served = true;
        completion.finish(request, Ending.SERVED);
        client.respond(HttpResponseStatus.OK, headers, response.content().retain());
    }

    /** Passes a server's 101 on to the client and joins the two connections. */
    private void switchProtocols(ClientRequest request, Attempt attempt, FullHttpResponse response) {
        if (request.finished) {
            attempt.switched.close();
            return;
        }
        ClientRequest.Client client = request.client;
        request.served = true;
        completion.finish(request, Ending.SERVED);
        Upgrade.UpgradedChannel clientEnd = client.switchProtocols(response);
        if (clientEnd == null) {
            request.upgrade.clientLeft();
            attempt.switched.close();
            return;
        }
        attempt.switched.joined(
                request.upgrade.join(response, clientEnd, attempt.switched.detach(), attempt.switched.upgradeServer()));
    }

    /**
     * A response that is too large to be buffered has begun. From here on it is the only response to the request: all
     * other attempts are cancelled, and it may take as long as server and client need, so the deadline timer of the
     * request and the time-out of the attempt are stopped.
     */
    @Override
    public StreamedResponse startStreaming(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
        ClientRequest request = attempt.call;
        if (request.finished || request.streamedAttempt != null || request.upgrade != null) {
            return null;
        }
        HttpHeaders passedOn = Headers.endToEnd(headers);
        passedOn.remove(Headers.LOAD);
        passedOn.remove(HttpHeaderNames.CONTENT_LENGTH);
        request.stream = request.client.startStream(passedOn, length, resume);
        if (request.stream == null) {
            return null;
        }
        request.streamedAttempt = attempt;
        request.served = true;
        request.expiry.cancel(false);
        attempt.timeout.cancel(false);
        attempt.streamedSince = clock.micros();
        events.deliver(
                request,
                now -> loadBalancer.streamBegan(
                        now,
                        request.request.id(),
                        attempt.number,
                        attempt.server,
                        attempt.streamedSince - attempt.sentAt));
        List.copyOf(request.attempts).stream().filter(a -> a != attempt).forEach(a -> endAttempt(a, Result.CANCELLED));
        return request.stream;
    }

    /**
     * Ends an attempt that has no result yet. Before its last byte is written it cannot have been executed; the load
     * balancer is then told {@code NOT_SENT}.
     */
    private void endAttempt(Attempt attempt, Result resultIfWritten) {
        if (attempt.result == null) {
            servers.abandon(attempt);
            attemptEnded(attempt, attempt.written ? resultIfWritten : Result.NOT_SENT, null, null);
        }
    }

    @Override
    public void attemptWritten() {
        inFlight.metrics().attemptSent();
    }

    @Override
    public void tunnelLoadChanged(long server, double requests, boolean full) {
        events.deliver(null, now -> loadBalancer.externalLoad(now, server, requests, full));
    }

    // ---- Actions of the load balancer

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        ClientRequest request = inFlight.get(requestId);
        if (request == null) {
            return;
        }
        long now = clock.micros();
        long deadline = request.request.deadlineMicros();
        long giveUpAt = timeoutMicros == 0 ? deadline : Math.min(deadline, now + timeoutMicros);
        Attempt attempt = new Attempt(request, server, now, giveUpAt);
        request.attempts.add(attempt);
        request.outstandingAttempts++;
        attempt.timeout =
                loop.schedule(() -> endAttempt(attempt, Result.TIMED_OUT), giveUpAt - now, TimeUnit.MICROSECONDS);
        servers.start(attempt);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ClientRequest request = inFlight.get(requestId);
        if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
            endAttempt(request.attempts.get(attempt), Result.CANCELLED);
        }
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        completion.respond(
                inFlight.get(requestId), HttpResponseStatus.SERVICE_UNAVAILABLE, RetryAfter.headers(retryAfterMicros));
    }

    @Override
    public void fail(String requestId) {
        ClientRequest request = inFlight.get(requestId);
        boolean hasTimedOut = request != null && request.attempts.stream().anyMatch(a -> a.result == Result.TIMED_OUT);
        completion.respond(
                request,
                hasTimedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                new DefaultHttpHeaders());
    }

    @Override
    public void timer(long atMicros, long token) {
        loop.schedule(
                () -> events.deliver(null, now -> loadBalancer.timer(now, token)),
                Math.max(0, atMicros - clock.micros()),
                TimeUnit.MICROSECONDS);
    }

    /** The load balancer probes only where the settings allow it; probes beyond this instance's share are not sent. */
    @Override
    public void probe(long server) {
        InetSocketAddress address = prober == null ? null : servers.address(server);
        if (address != null) {
            prober.probe(server, address);
        }
    }

    @Override
    public void closeIdle(long server) {
        servers.closeIdle(server);
    }

    @Override
    public void subscribe() {
        subscribe.run();
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
