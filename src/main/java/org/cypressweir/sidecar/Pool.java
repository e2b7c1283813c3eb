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
 * One load balancer with its servers. It turns what happens to requests into the load balancer's events and the
 * load balancer's actions into what happens on connections, and decides nothing.
 *
 * <p>Confined to the event loop. It is retired, where an operators' file drops it, or closed with the process.
 */
final class Pool implements Cluster, Actions, ServerPool.Listener {

    /** The load balancer ends its requests at their deadline; past this much more the pool does. */
    private static final long OVERDUE_MICROS = 5_000;

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
    private final boolean probing;
    private final long connectMicros;
    private Settings settings;
    private boolean givesRetryAdvice;
    private long maxRetryAdviceMicros;
    /** Null where nothing says how much may be probed. */
    private HealthProber prober;

    /** What a pool shares with the rest of the process. */
    record Shared(
            EventLoop loop, SidecarClock clock, InFlightRequests inFlight, Runnable subscribe, Consumer<String> log) {}

    /** Tunnels are null where nothing switches to another protocol. */
    Pool(
            Shared shared,
            SidecarConfiguration config,
            Settings settings,
            int connections,
            PoolConfiguration.Tunnelled tunnels,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancers) {
        loop = shared.loop();
        clock = shared.clock();
        inFlight = shared.inFlight();
        subscribe = shared.subscribe();
        log = shared.log();
        events = new LoadBalancerEvents(clock, this::eventFailed);
        completion = new RequestCompletion(loop, inFlight);
        loadBalancer = loadBalancers.apply(settings, this);
        this.settings = settings;
        givesRetryAdvice = settings.limits().retryAdvice();
        maxRetryAdviceMicros = settings.limits().maxRetryAdviceMicros();
        probing = settings.limits().probing();
        connectMicros = config.connectMicros();
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
        return servers.anyReady();
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
    public int listed() {
        return servers.listed();
    }

    @Override
    public int avoided() {
        return servers.draining() + loadBalancer.avoided(clock.micros());
    }

    @Override
    public ServerList list() {
        return servers.list();
    }

    @Override
    public void listed(ListKind kind, ServerList list) {
        servers.update(list);
        events.deliver(null, now -> loadBalancer.servers(now, kind, list.servers()));
    }

    @Override
    public void failed() {
        events.deliver(null, now -> loadBalancer.servers(now, ListKind.FAILED, List.of()));
    }

    // ---- Configuration

    @Override
    public boolean fits(PoolConfiguration plan) {
        return plan.cells() == null;
    }

    @Override
    public void limit(PoolConfiguration plan) {
        servers.setLimits(plan.connections(), plan.tunnels());
        events.deliver(null, now -> loadBalancer.limits(now, plan.requests(), plan.queue(), plan.connections()));
    }

    /** Other bounds on requests in flight and connections. */
    void setLimits(Limits wider) {
        settings = settings.with(
                settings.limits().with(wider.open(), wider.held(), wider.connections()), settings.discoveryOnAsk());
        servers.setLimits(wider.connections(), null);
        events.deliver(null, now -> loadBalancer.limits(now, wider.open(), wider.held(), wider.connections()));
    }

    /** The bounds on this pool's requests and connections are its own; all other settings are replaced. */
    @Override
    public void retune(Settings next) {
        Limits own = settings.limits();
        Limits limits = next.limits().with(own.open(), own.held(), own.connections());
        settings = settings.with(next.classes()).with(limits, settings.discoveryOnAsk());
        givesRetryAdvice = limits.retryAdvice();
        maxRetryAdviceMicros = limits.maxRetryAdviceMicros();
        deliverSettings();
    }

    @Override
    public void among(int instances) {
        settings = settings.among(instances);
        deliverSettings();
    }

    private void deliverSettings() {
        Settings current = settings;
        events.deliver(null, now -> loadBalancer.retune(now, current));
    }

    @Override
    public void trim() {
        servers.closeSurplusIdle();
    }

    @Override
    public void share(Shares shares) {
        servers.setMaxIdle(shares == null ? null : shares::idle);
        prober = shares == null || !probing
                ? null
                : new HealthProber(
                        loop,
                        clock,
                        connectMicros,
                        () -> shares.probe(clock.micros(), servers.size()),
                        (server, result, elapsed, report) ->
                                events.deliver(null, now -> loadBalancer.probed(now, server, result, elapsed, report)));
    }

    // ---- End

    /** The process is to end: idle connections are of no use any more. */
    void stopping() {
        servers.setMaxIdle(known -> 0);
    }

    @Override
    public void retire(Runnable ended) {
        completion.setWhenEmpty(() -> {
            close();
            ended.run();
        });
        listed(ListKind.COMPLETE, new ServerList(0, true, List.of()));
        events.deliver(null, loadBalancer::closing);
        completion.runIfEmpty();
    }

    @Override
    public void close() {
        servers.close();
    }

    // ---- Requests

    @Override
    public void take(ClientRequest request) {
        request.pool = this;
        completion.began();
        long now = clock.micros();
        request.expiry = loop.schedule(
                () -> abort(request, HttpResponseStatus.GATEWAY_TIMEOUT),
                request.request.deadlineMicros() - now + OVERDUE_MICROS,
                TimeUnit.MICROSECONDS);
        long retryAfterMicros = request.upgrade == null ? -1 : request.upgrade.admit(servers);
        if (retryAfterMicros >= 0) {
            refuse(
                    request.request.id(),
                    givesRetryAdvice ? RetryAfter.limit(maxRetryAdviceMicros, retryAfterMicros) : 0);
            return;
        }
        events.deliver(request, at -> loadBalancer.request(at, request.request));
    }

    /**
     * Takes another handshake for an upgrade that was agreed to: a request of its own, with its headers.
     *
     * @param id of the request, in flight nowhere
     */
    void takeAgain(ClientRequest first, String id, Upgrade upgrade, HttpHeaders headers, ClientRequest.Client client) {
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
                original.terms());
        ClientRequest request = new ClientRequest(
                repeated,
                new RouteDecision(
                        this, original.requestClass(), first.uri, null, timeoutMicros, original.terms(), upgrade),
                first.className,
                first.method,
                headers,
                Unpooled.EMPTY_BUFFER,
                client);
        if (inFlight.add(request)) {
            upgrade.taken(request);
            take(request);
        } else {
            upgrade.left();
        }
    }

    @Override
    public void left(ClientRequest request) {
        if (request.upgrade != null) {
            request.upgrade.left();
        }
        completion.finish(request, null);
        events.deliver(null, now -> loadBalancer.clientLeft(now, request.request.id()));
    }

    /** Gives a response that the load balancer did not ask for: each request must have one. */
    private void abort(ClientRequest request, HttpResponseStatus status) {
        if (!request.over) {
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
        request.out--;
        if (request.passed == attempt) {
            completion.endStream(request, result == Result.SERVED);
        } else if (result == Result.SERVED && request.upgrade != null) {
            switchProtocols(request, attempt, response);
        } else if (result == Result.SERVED && !request.over && request.passed == null && response != null) {
            passOn(request, response);
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
                                (attempt.begunAt == 0 ? now : attempt.begunAt) - attempt.sentAt,
                                request.over,
                                report)));
        completion.forgetIfDone(request);
    }

    private void passOn(ClientRequest request, FullHttpResponse response) {
        HttpHeaders headers = Headers.endToEnd(response.headers());
        headers.remove(Headers.LOAD);
        ClientRequest.Client client = request.client;
        request.served = true;
        completion.finish(request, Ending.SERVED);
        client.answer(HttpResponseStatus.OK, headers, response.content().retain());
    }

    /** A server has said 101: its client hears so now, and the two connections are joined. */
    private void switchProtocols(ClientRequest request, Attempt attempt, FullHttpResponse response) {
        if (request.over) {
            attempt.switched.close();
            return;
        }
        ClientRequest.Client client = request.client;
        request.served = true;
        completion.finish(request, Ending.SERVED);
        Upgrade.End clientEnd = client.goOver(response);
        if (clientEnd == null) {
            request.upgrade.left();
            attempt.switched.close();
            return;
        }
        attempt.switched.joined(
                request.upgrade.join(response, clientEnd, attempt.switched.goOver(), attempt.switched.host()));
    }

    /**
     * A response that is too large to be kept has begun: from here on it is the request's one response, nothing is
     * tried beside it, and it takes the time that server and client take.
     */
    @Override
    public StreamedResponse streamBegins(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
        ClientRequest request = attempt.call;
        if (request.over || request.passed != null || request.upgrade != null) {
            return null;
        }
        HttpHeaders passedOn = Headers.endToEnd(headers);
        passedOn.remove(Headers.LOAD);
        passedOn.remove(HttpHeaderNames.CONTENT_LENGTH);
        request.passing = request.client.pass(passedOn, length, resume);
        if (request.passing == null) {
            return null;
        }
        request.passed = attempt;
        request.served = true;
        request.expiry.cancel(false);
        attempt.timeout.cancel(false);
        attempt.begunAt = clock.micros();
        events.deliver(
                request,
                now -> loadBalancer.streamBegan(
                        now, request.request.id(), attempt.number, attempt.server, attempt.begunAt - attempt.sentAt));
        List.copyOf(request.attempts).stream().filter(a -> a != attempt).forEach(a -> stopWaiting(a, Result.CANCELLED));
        return request.passing;
    }

    /** Until its last byte is written an attempt can't have run, and the load balancer hears so. */
    private void stopWaiting(Attempt attempt, Result resultIfWritten) {
        if (attempt.result == null) {
            servers.abandon(attempt);
            attemptEnded(attempt, attempt.written ? resultIfWritten : Result.NOT_SENT, null, null);
        }
    }

    @Override
    public void attemptWritten() {
        inFlight.figures().attempted();
    }

    @Override
    public void tunnelLoad(long server, double requests, boolean full) {
        events.deliver(null, now -> loadBalancer.burden(now, server, requests, full));
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
        request.out++;
        attempt.timeout =
                loop.schedule(() -> stopWaiting(attempt, Result.TIMED_OUT), giveUpAt - now, TimeUnit.MICROSECONDS);
        servers.start(attempt);
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ClientRequest request = inFlight.get(requestId);
        if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
            stopWaiting(request.attempts.get(attempt), Result.CANCELLED);
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

    /** The load balancer asks only where the settings allow it; what is beyond the bounds is not sent. */
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
