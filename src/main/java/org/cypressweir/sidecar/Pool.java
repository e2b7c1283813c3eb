package org.cypressweir.sidecar;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
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
 * One decision module with its servers. It turns what happens to requests into the module's events and the
 * module's actions into what happens on connections, and decides nothing.
 */
final class Pool implements Cluster, Actions, ServerPool.Listener {

    /** The module ends its requests at their deadline; past this much more the pool does. */
    private static final long OVERDUE_MICROS = 5_000;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final InFlightRequests inHand;
    private final Runnable subscribe;
    private final Consumer<String> log;
    private final LoadBalancer module;
    private final ServerPool servers;
    private Settings settings;
    private boolean retryAdvice;
    private long longestAdvice;
    private final boolean probing;
    private final long connectMicros;
    /** Null where nothing says how much may be probed. */
    private HealthProber prober;

    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean inModule;
    /** Requests that have not been forgotten. */
    private int calls;
    /** To be run once the last request is forgotten, where the pool goes. */
    private Runnable emptied;

    /** Something to tell the module, and the request that it is about, if any. */
    private record Event(ClientRequest about, Notification told) {}

    private interface Notification {
        void tell(long nowMicros);
    }

    /** What a pool shares with the rest of the process. */
    record Shared(
            EventLoop loop, SidecarClock clock, InFlightRequests inHand, Runnable subscribe, Consumer<String> log) {}

    /** Tunnels are null where nothing goes over to another protocol. */
    Pool(
            Shared shared,
            SidecarConfiguration config,
            Settings settings,
            int connections,
            PoolConfiguration.Tunnelled tunnels,
            BiFunction<Settings, Actions, LoadBalancer> modules) {
        loop = shared.loop();
        clock = shared.clock();
        inHand = shared.inHand();
        subscribe = shared.subscribe();
        log = shared.log();
        module = modules.apply(settings, this);
        this.settings = settings;
        retryAdvice = settings.limits().retryAdvice();
        longestAdvice = settings.limits().maxRetryAdviceMicros();
        probing = settings.limits().probing();
        connectMicros = config.connectMicros();
        servers = new ServerPool(loop, clock, config, connections, tunnels, this);
    }

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
        return servers.leaving() + module.avoided(clock.micros());
    }

    @Override
    public ServerList list() {
        return servers.list();
    }

    @Override
    public void take(ClientRequest call) {
        call.pool = this;
        calls++;
        long now = clock.micros();
        call.expiry = loop.schedule(
                () -> abort(call, HttpResponseStatus.GATEWAY_TIMEOUT),
                call.request.deadlineMicros() - now + OVERDUE_MICROS,
                TimeUnit.MICROSECONDS);
        long retry = call.upgrade == null ? -1 : call.upgrade.admit(servers);
        if (retry >= 0) {
            refuse(call.request.id(), retryAdvice ? within(longestAdvice, retry) : 0);
            return;
        }
        tell(call, at -> module.request(at, call.request));
    }

    /** A time to come back, as it is or still spread where only shorter ones may be told. */
    static long within(long longest, long micros) {
        return micros <= longest ? micros : longest / 2 + micros % (longest / 2 + 1);
    }

    /**
     * Takes another handshake for an upgrade that was agreed to: a request of its own, with its headers.
     *
     * @param id of the request, in hand nowhere
     */
    void takeAgain(ClientRequest first, String id, Upgrade upgrade, HttpHeaders headers, ClientRequest.Client client) {
        Request r = first.request;
        long timeout = Math.min(first.timeoutMicros, Long.parseLong(headers.get(Headers.TIMEOUT)) * 1000);
        ClientRequest call = new ClientRequest(
                new Request(
                        id,
                        r.requestClass(),
                        r.tenant(),
                        false,
                        r.key(),
                        clock.micros() + timeout,
                        0,
                        r.write(),
                        r.terms()),
                new RouteDecision(this, r.requestClass(), first.uri, null, timeout, r.terms(), upgrade),
                first.className,
                first.method,
                headers,
                Unpooled.EMPTY_BUFFER,
                client);
        if (inHand.add(call)) {
            upgrade.taken(call);
            take(call);
        } else {
            upgrade.left();
        }
    }

    @Override
    public void left(ClientRequest call) {
        if (call.upgrade != null) {
            call.upgrade.left();
        }
        over(call, null);
        tell(null, now -> module.clientLeft(now, call.request.id()));
    }

    @Override
    public void listed(ListKind kind, ServerList list) {
        servers.update(list);
        tell(null, now -> module.servers(now, kind, list.servers()));
    }

    @Override
    public void failed() {
        tell(null, now -> module.servers(now, ListKind.FAILED, List.of()));
    }

    @Override
    public boolean fits(PoolConfiguration plan) {
        return plan.cells() == null;
    }

    @Override
    public void limit(PoolConfiguration plan) {
        servers.limit(plan.connections(), plan.tunnels());
        tell(null, now -> module.limits(now, plan.requests(), plan.queue(), plan.connections()));
    }

    /** Other bounds on what it has in hand and open. */
    void bound(Limits wider) {
        settings = settings.with(
                settings.limits().with(wider.open(), wider.held(), wider.connections()), settings.discoveryOnAsk());
        servers.limit(wider.connections(), null);
        tell(null, now -> module.limits(now, wider.open(), wider.held(), wider.connections()));
    }

    /** The process is to end: connections that nothing is asked on are of no use any more. */
    void stopping() {
        servers.keep(known -> 0);
    }

    /** The bounds on what this pool has in hand and open are its own; all else that is told starts anew. */
    @Override
    public void retune(Settings next) {
        Limits mine = settings.limits();
        Limits limits = next.limits().with(mine.open(), mine.held(), mine.connections());
        settings = settings.with(next.classes()).with(limits, settings.discoveryOnAsk());
        retryAdvice = limits.retryAdvice();
        longestAdvice = limits.maxRetryAdviceMicros();
        Settings told = settings;
        tell(null, now -> module.retune(now, told));
    }

    @Override
    public void trim() {
        servers.trim();
    }

    @Override
    public void among(int instances) {
        settings = settings.among(instances);
        Settings told = settings;
        tell(null, now -> module.retune(now, told));
    }

    @Override
    public void share(Shares shares) {
        servers.keep(shares == null ? null : shares::idle);
        prober = shares == null || !probing
                ? null
                : new HealthProber(
                        loop,
                        clock,
                        connectMicros,
                        () -> shares.probe(clock.micros(), servers.size()),
                        (server, result, elapsed, report) ->
                                tell(null, now -> module.probed(now, server, result, elapsed, report)));
    }

    @Override
    public void retire(Runnable ended) {
        emptied = () -> {
            close();
            ended.run();
        };
        listed(ListKind.COMPLETE, new ServerList(0, true, List.of()));
        tell(null, module::closing);
        runIfEmpty();
    }

    @Override
    public void close() {
        servers.close();
    }

    // ---- Events for the module

    /**
     * Tells the module, now or right after what it is being told: what an action brings about at once must
     * not reach the module inside the very call that asked for it. An exception costs its own request only.
     */
    private void tell(ClientRequest about, Notification told) {
        events.addLast(new Event(about, told));
        if (inModule) {
            return;
        }
        inModule = true;
        try {
            for (Event e; (e = events.pollFirst()) != null; ) {
                tell(e);
            }
        } finally {
            inModule = false;
        }
    }

    private void tell(Event e) {
        try {
            e.told.tell(clock.micros());
        } catch (RuntimeException | Error failure) {
            log("request " + (e.about == null ? "-" : e.about.request.id()) + ": " + failure);
            if (e.about != null) {
                abort(e.about, HttpResponseStatus.INTERNAL_SERVER_ERROR);
            }
        }
    }

    @Override
    public void ended(Attempt attempt, Result result, LoadReport report, FullHttpResponse answer) {
        ClientRequest call = attempt.call;
        attempt.result = result;
        attempt.timeout.cancel(false);
        call.out--;
        if (call.passed == attempt) {
            endPassing(call, result == Result.SERVED);
        } else if (result == Result.SERVED && call.upgrade != null) {
            goOver(call, attempt, answer);
        } else if (result == Result.SERVED && !call.over && call.passed == null && answer != null) {
            HttpHeaders headers = Headers.endToEnd(answer.headers());
            headers.remove(Headers.LOAD);
            ClientRequest.Client client = call.client;
            call.served = true;
            over(call, Ending.SERVED);
            client.answer(HttpResponseStatus.OK, headers, answer.content().retain());
        }
        tell(
                call,
                now -> module.outcome(
                        now,
                        new Outcome(
                                call.request.id(),
                                attempt.number,
                                attempt.server,
                                result,
                                (attempt.begunAt == 0 ? now : attempt.begunAt) - attempt.sentAt,
                                call.over,
                                report)));
        forget(call);
    }

    /**
     * An answer that is too large to be kept has begun: from here on it is the request's one answer, nothing
     * is tried beside it, and it takes the time that server and client take.
     */
    @Override
    public StreamedResponse passes(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
        ClientRequest call = attempt.call;
        if (call.over || call.passed != null || call.upgrade != null) {
            return null;
        }
        HttpHeaders others = Headers.endToEnd(headers);
        others.remove(Headers.LOAD);
        others.remove(HttpHeaderNames.CONTENT_LENGTH);
        call.passing = call.client.pass(others, length, resume);
        if (call.passing == null) {
            return null;
        }
        call.passed = attempt;
        call.served = true;
        call.expiry.cancel(false);
        attempt.timeout.cancel(false);
        attempt.begunAt = clock.micros();
        tell(
                call,
                now -> module.streamBegan(
                        now, call.request.id(), attempt.number, attempt.server, attempt.begunAt - attempt.sentAt));
        List.copyOf(call.attempts).stream().filter(a -> a != attempt).forEach(a -> stopWaiting(a, Result.CANCELLED));
        return call.passing;
    }

    private void endPassing(ClientRequest call, boolean whole) {
        if (call.over) {
            return;
        }
        StreamedResponse passing = call.passing;
        over(call, whole ? Ending.SERVED : Ending.FAILED);
        if (whole) {
            passing.end();
        } else {
            passing.cut();
        }
    }

    /** A server has said 101: its client hears so now, and the two connections are joined. */
    private void goOver(ClientRequest call, Attempt attempt, FullHttpResponse answer) {
        if (call.over) {
            attempt.switched.close();
            return;
        }
        ClientRequest.Client client = call.client;
        call.served = true;
        over(call, Ending.SERVED);
        Upgrade.End clientEnd = client.goOver(answer);
        if (clientEnd == null) {
            call.upgrade.left();
            attempt.switched.close();
            return;
        }
        attempt.switched.joined(
                call.upgrade.join(answer, clientEnd, attempt.switched.goOver(), attempt.switched.host()));
    }

    @Override
    public void written() {
        inHand.figures().attempted();
    }

    @Override
    public void carries(long server, double requests, boolean full) {
        tell(null, now -> module.burden(now, server, requests, full));
    }

    // ---- Actions of the module

    @Override
    public void send(String requestId, long server, long timeoutMicros) {
        ClientRequest call = inHand.get(requestId);
        if (call == null) {
            return;
        }
        long now = clock.micros();
        long deadline = call.request.deadlineMicros();
        long giveUpAt = timeoutMicros == 0 ? deadline : Math.min(deadline, now + timeoutMicros);
        Attempt attempt = new Attempt(call, server, now, giveUpAt);
        call.attempts.add(attempt);
        call.out++;
        attempt.timeout =
                loop.schedule(() -> stopWaiting(attempt, Result.TIMED_OUT), giveUpAt - now, TimeUnit.MICROSECONDS);
        servers.start(attempt);
    }

    /** Until its last byte is written an attempt can't have run, and the module is told that proof. */
    private void stopWaiting(Attempt attempt, Result otherwise) {
        if (attempt.result == null) {
            servers.abandon(attempt);
            ended(attempt, attempt.written ? otherwise : Result.NOT_SENT, null, null);
        }
    }

    @Override
    public void cancel(String requestId, int attempt) {
        ClientRequest call = inHand.get(requestId);
        if (call != null && attempt >= 0 && attempt < call.attempts.size()) {
            stopWaiting(call.attempts.get(attempt), Result.CANCELLED);
        }
    }

    @Override
    public void refuse(String requestId, long retryAfterMicros) {
        answer(inHand.get(requestId), HttpResponseStatus.SERVICE_UNAVAILABLE, comeBack(retryAfterMicros));
    }

    /** When a client that is refused may come back; 0 says nothing of it. */
    static HttpHeaders comeBack(long micros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (micros > 0) {
            headers.set(HttpHeaderNames.RETRY_AFTER, String.valueOf(Math.max(1, micros / 1000) / 1000.0));
        }
        return headers;
    }

    @Override
    public void fail(String requestId) {
        ClientRequest call = inHand.get(requestId);
        boolean late = call != null && call.attempts.stream().anyMatch(a -> a.result == Result.TIMED_OUT);
        answer(
                call,
                late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
                new DefaultHttpHeaders());
    }

    @Override
    public void timer(long atMicros, long token) {
        loop.schedule(
                () -> tell(null, now -> module.timer(now, token)),
                Math.max(0, atMicros - clock.micros()),
                TimeUnit.MICROSECONDS);
    }

    /** The module only asks where the settings allow it; what is beyond the bounds is not sent. */
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

    // ---- The one answer

    private void answer(ClientRequest call, HttpResponseStatus status, HttpHeaders headers) {
        if (call == null || call.over) {
            return;
        }
        if (call.passed != null) {
            // It has an answer already, which goes no further.
            over(call, Ending.FAILED);
            call.passing.cut();
            return;
        }
        over(call, ending(status));
        if (call.upgrade == null) {
            call.client.answer(status, headers, Unpooled.EMPTY_BUFFER);
        } else if (call.declined == null) {
            call.upgrade.answered(status);
            call.client.answer(status, headers, Unpooled.EMPTY_BUFFER);
        } else {
            // A server's own word says more than that no server agreed; it is never a refusal.
            call.upgrade.answered(call.declined.status());
            call.client.answer(
                    call.declined.status(), call.declined.headers(), Unpooled.wrappedBuffer(call.declined.content()));
        }
    }

    /** An answer that the module did not give: its request must have one all the same. */
    private void abort(ClientRequest call, HttpResponseStatus status) {
        if (!call.over) {
            answer(call, status, new DefaultHttpHeaders());
            tell(null, now -> module.clientLeft(now, call.request.id()));
        }
    }

    /** What a client may take an answer for, whoever worded it. */
    static Ending ending(HttpResponseStatus status) {
        return status.code() == 429 || status.code() == 503 ? Ending.REFUSED : Ending.FAILED;
    }

    /** The ending is null where the client has left. */
    private void over(ClientRequest call, Ending ending) {
        call.over = true;
        call.expiry.cancel(false);
        inHand.over(call, ending);
        if (call.watch != null) {
            call.watch.answered(call);
        }
        forget(call);
    }

    private void forget(ClientRequest call) {
        if (call.over && call.out == 0 && !call.forgotten) {
            call.forgotten = true;
            inHand.remove(call);
            calls--;
            if (call.watch != null) {
                call.watch.ended(call);
            }
            runIfEmpty();
        }
    }

    private void runIfEmpty() {
        if (emptied != null && calls == 0) {
            Runnable task = emptied;
            emptied = null;
            loop.execute(task);
        }
    }
}
