package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.util.Ids;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.cypressweir.loadbalancing.LoadBalancer.Terms;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.jboss.logging.Logger;

/**
 * The way of requests to one service: the design's module decides, this carries out. Every answer of the
 * mesh's own to a request that was taken is given here, from the account of its attempts.
 */
final class ServiceRequestHandler implements Actions {

    private static final Logger LOG = Logger.getLogger(ServiceRequestHandler.class);
    private static final int TENANTS = 256;
    private static final long COLD = 4_000_000;
    private static final long TICK = 1_000;
    private static final long MOST_ADVICE = 500_000;
    /** Part of the aim for which a request waits for room at a server at most. */
    private static final double PATIENCE = 0.23;
    /** After this part of the aim a copy of what may be repeated goes to another server. */
    private static final double COPY_AFTER = 0.8;

    /** What all classes of one kind have in common. */
    private record Kind(boolean repeatable, long aim, long deadline, int rank, boolean inner) {}

    private final String service;
    private final EventLoop loop;
    private final LongSupplier micros;
    private final AttemptTransport carrier;
    private final SubsetLoadBalancer choice;
    private Settings settings;
    private final Map<Kind, Integer> kinds = new HashMap<>();
    private final Map<String, ProxiedRequest> open = new HashMap<>();
    private final Map<Long, Endpoint> targets = new HashMap<>();
    private final Map<String, Long> started = new HashMap<>();
    private final Map<ErrorKind, Long> counts = new EnumMap<>(ErrorKind.class);
    private boolean hasServers;

    /** @param budget how many further attempts may go to the service's servers */
    ServiceRequestHandler(
            String service,
            EventLoop loop,
            LongSupplier micros,
            AttemptTransport carrier,
            String name,
            int zone,
            List<String> zones,
            Rules budget) {
        this.service = service;
        this.loop = loop;
        this.micros = micros;
        this.carrier = carrier;
        RequestClass first =
                new RequestClass("first", Effect.UNSAFE, Group.ALL, 0, 500_000, 0, 2_000_000, 1, 0.2, false);
        List<RequestClass> classes = new ArrayList<>(List.of(first));
        settings = new Settings(
                Ids.of(name + service),
                (int) (Ids.of(name) & 0xffff),
                1,
                zone,
                zones,
                classes,
                Collections.nCopies(TENANTS, new Tenant("", 0)),
                1,
                1,
                new Limits(4, true, false, true, MOST_ADVICE, Long.MAX_VALUE / 4, 4_000, 2_000, true, 1_000),
                budget,
                ReportSource.ANSWERS,
                false,
                false,
                TICK);
        choice = new SubsetLoadBalancer(settings, this);
    }

    static Rules budget(long window, double floor, double perRequest) {
        return new Rules(0.5, COLD, 1_000_000, 1_000_000, floor, perRequest, window);
    }

    /** What may be sent to from now on. */
    void servers(List<Endpoint> list, List<String> zones, Map<String, Long> warmAt) {
        long now = micros.getAsLong();
        targets.clear();
        List<Server> lines = new ArrayList<>();
        for (Endpoint target : list) {
            targets.put(target.number(), target);
            long warm = warmAt.getOrDefault(target.instance(), 0L);
            long start = started.computeIfAbsent(target.instance(), i -> warm > now ? warm - COLD : 0);
            lines.add(new Server(
                    target.number(),
                    zones.indexOf(target.zone()),
                    0,
                    0,
                    org.cypressweir.loadbalancing.LoadBalancer.Phase.READY,
                    start,
                    1));
        }
        started.keySet().retainAll(list.stream().map(Endpoint::instance).toList());
        hasServers = !list.isEmpty();
        choice.servers(now, ListKind.COMPLETE, lines);
    }

    boolean hasServers() {
        return hasServers;
    }

    int open() {
        return open.size();
    }

    /** Tells of requests with that id which are still in hand. */
    void tell(String id, RequestTrace to) {
        open.values().stream().filter(p -> p.id.equals(id)).forEach(p -> p.tell(service, to));
    }

    /** Refusals and failures of the mesh's own here, by kind. */
    Map<ErrorKind, Long> counts() {
        return counts;
    }

    private ServerResponse own(ProxiedRequest p, ErrorKind fault, long againMicros) {
        p.fault = fault;
        counts.merge(fault, 1L, Long::sum);
        return LocalResponses.of(fault, againMicros);
    }

    /** Takes a request; from now on it gets its answer here. */
    void take(ProxiedRequest passage) {
        long now = micros.getAsLong();
        open.put(passage.number, passage);
        passage.call.onDisconnect(() -> left(passage));
        if (!hasServers) {
            passage.answer(own(passage, ErrorKind.NOT_READY, 200_000));
            forget(passage);
            return;
        }
        passage.atDeadline = loop.schedule(() -> deadline(passage), passage.deadline - now, TimeUnit.MICROSECONDS);
        long aim = passage.aimAt - passage.arrivedAt;
        Terms terms = new Terms(
                Math.max(1, passage.route.maxAttempts()),
                0,
                Terms.NONE.retryOn(),
                passage.route.repeatable() && !passage.inner ? 1 : 0,
                (long) (COPY_AFTER * aim),
                List.of(),
                false);
        int tenant = passage.tenant == null ? 0 : (int) (Ids.of(passage.tenant) % TENANTS);
        choice.request(
                now,
                new Request(
                        passage.number,
                        kind(passage),
                        tenant,
                        false,
                        -1,
                        passage.deadline,
                        0,
                        !passage.route.repeatable(),
                        terms));
        beImpatient(passage);
    }

    private int kind(ProxiedRequest p) {
        Kind kind = new Kind(p.route.repeatable(), p.route.aimMicros(), p.route.timeoutMicros(), p.rank, p.inner);
        return kinds.computeIfAbsent(kind, k -> {
            List<RequestClass> classes = new ArrayList<>(settings.classes());
            classes.add(new RequestClass(
                    "k" + classes.size(),
                    k.repeatable ? Effect.SAFE : Effect.UNSAFE,
                    Group.ALL,
                    0,
                    k.aim,
                    0,
                    k.deadline,
                    k.inner ? 8 : 4.0 / (1 + Math.max(0, k.rank)),
                    0.2,
                    false));
            settings = settings.with(classes);
            choice.retune(micros.getAsLong(), settings);
            return classes.size() - 1;
        });
    }

    /** A request that no server has room for is refused early, so that its client may come back in time. */
    private void beImpatient(ProxiedRequest p) {
        if (p.account.isClosed() || p.account.hasPendingAttempt() || p.patience != null) {
            return;
        }
        long until = p.arrivedAt + (long) (PATIENCE * (p.aimAt - p.arrivedAt));
        p.patience = loop.schedule(
                () -> {
                    p.patience = null;
                    if (!p.account.isClosed() && !p.account.hasPendingAttempt()) {
                        choice.clientLeft(micros.getAsLong(), p.number);
                        refuse(p.number, (p.aimAt - p.arrivedAt) / 4);
                    }
                },
                Math.max(1_000, until - micros.getAsLong()),
                TimeUnit.MICROSECONDS);
    }

    private void left(ProxiedRequest p) {
        if (!p.account.isClosed()) {
            p.left();
            choice.clientLeft(micros.getAsLong(), p.number);
            forget(p);
        }
    }

    /** A passage is kept until the last of its attempts has ended. */
    private void forget(ProxiedRequest p) {
        if (p.account.isClosed() && !p.account.hasPendingAttempt() && open.remove(p.number) != null) {
            p.ended(service);
        }
    }

    private void deadline(ProxiedRequest p) {
        long now = micros.getAsLong();
        for (int i = 0; i < p.tries.size() && !p.account.isClosed(); i++) {
            ProxiedRequest.Try one = p.tries.get(i);
            if (p.account.isPending(i) && !one.over) {
                one.over = true;
                choice.outcome(
                        now,
                        new org.cypressweir.loadbalancing.LoadBalancer.Outcome(
                                p.number, i, one.target.number(), Result.TIMED_OUT, now - one.sentAt, false, null));
                if (one.ride != null) {
                    one.ride.cancel();
                }
            }
        }
        if (!p.account.isClosed()) {
            choice.clientLeft(now, p.number);
            fail(p.number);
        }
    }

    // ---- What the module asks for

    @Override
    public void send(String number, long server, long timeoutMicros) {
        ProxiedRequest p = open.get(number);
        Endpoint target = targets.get(server);
        if (p == null) {
            return;
        }
        int index = p.account.beginAttempt();
        ProxiedRequest.Try one = new ProxiedRequest.Try(target, micros.getAsLong());
        p.tries.add(one);
        if (target == null || !p.account.trySend(index)) {
            loop.execute(() -> replied(
                    p, index, one, new AttemptResult(new RequestOutcome.NotRun(RejectionReason.GONE, 0), null)));
            return;
        }
        List<Map.Entry<String, String>> headers = new ArrayList<>(p.headers);
        headers.add(Map.entry("Cypressweir-Target-Instance", target.instance()));
        UpstreamRequest freight = new UpstreamRequest(
                p.id,
                p.call.method(),
                p.call.uri(),
                headers,
                p.call.body(),
                p.route.repeatable(),
                p.rank,
                p.inner,
                p.aimAt,
                p.deadline,
                target.instance());
        boolean[] within = {true};
        one.ride = carrier.send(target, freight, reply -> {
            if (within[0]) {
                loop.execute(() -> replied(p, index, one, reply));
            } else {
                replied(p, index, one, reply);
            }
        });
        within[0] = false;
    }

    private void replied(ProxiedRequest p, int index, ProxiedRequest.Try one, AttemptResult reply) {
        if (!p.account.isPending(index)) {
            return;
        }
        long now = micros.getAsLong();
        one.outcome = reply.outcome();
        one.endedAt = now;
        Result result = result(reply.outcome());
        boolean served = result == Result.SERVED;
        RequestState.ClientAction due = p.account.onOutcome(index, reply.outcome());
        if (due != RequestState.ClientAction.NONE) {
            give(p, due, reply.outcome(), 0);
        }
        if (!one.over) {
            long number = one.target == null ? 0 : one.target.number();
            choice.outcome(
                    now,
                    new org.cypressweir.loadbalancing.LoadBalancer.Outcome(
                            p.number, index, number, result, now - one.sentAt, served, report(reply.load())));
        }
        if (!p.account.isClosed()) {
            beImpatient(p);
        }
        forget(p);
    }

    /** Does for the client what its account says. */
    private void give(ProxiedRequest p, RequestState.ClientAction due, RequestOutcome outcome, long againMicros) {
        switch (due) {
            case NONE -> {}
            case SEND_RESPONSE -> p.answer(answer(outcome));
            case SAVE_RESPONSE -> p.kept = answer(outcome);
            case SEND_SAVED_RESPONSE -> p.answer(p.kept);
            case REJECT -> p.answer(own(p, ErrorKind.NO_ROOM, againMicros));
            case BAD_GATEWAY -> p.answer(own(p, ErrorKind.BROKEN, 0));
            case GATEWAY_TIMEOUT -> p.answer(own(p, ErrorKind.TIMED_OUT, 0));
        }
    }

    private static ServerResponse answer(RequestOutcome outcome) {
        RequestOutcome.Responded its = (RequestOutcome.Responded) outcome;
        return new ServerResponse(its.status(), Headers.endToEnd(its.headers()), its.body());
    }

    private static Result result(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Responded a) {
            return a.status() < 500 ? Result.SERVED : Result.ERROR;
        } else if (outcome instanceof RequestOutcome.NotRun n) {
            return switch (n.reason()) {
                    // The pilot beside the server orders what waits there: its refusal is for this request only.
                case FULL, LATE, CANCELLED, REFUSED -> Result.NOT_SENT;
                case GONE, MISDIRECTED, NO_CONNECTION -> Result.NO_CONNECTION;
            };
        }
        return Result.BROKEN;
    }

    /**
     * Servers answer as fast up to their slots, and what waits is ordered beside them: the module's own
     * limits must not hold back here what would go first there, so a server is never told to be more than
     * half used.
     */
    private static LoadReport report(UpstreamLoad load) {
        if (load == null || load.concurrency() <= 0) {
            return null;
        }
        double use = 0.3 * Math.min(1, load.running() / (double) load.concurrency())
                + Math.min(0.19, 0.1 * load.waiting() / load.concurrency());
        return new LoadReport(Double.NaN, load.waiting(), use, Double.NaN, Double.NaN, Double.NaN);
    }

    @Override
    public void refuse(String number, long retryAfterMicros) {
        ProxiedRequest p = open.get(number);
        if (p != null) {
            end(p, retryAfterMicros);
        }
    }

    @Override
    public void fail(String number) {
        ProxiedRequest p = open.get(number);
        if (p != null) {
            end(p, 100_000);
        }
    }

    /** No further attempt is made, and none that is out is waited for. */
    private void end(ProxiedRequest p, long againMicros) {
        give(p, p.account.finalAction(micros.getAsLong() >= p.deadline - TICK), null, againMicros);
        forget(p);
    }

    @Override
    public void cancel(String number, int attempt) {
        ProxiedRequest p = open.get(number);
        if (p != null && attempt < p.tries.size()) {
            ProxiedRequest.Try one = p.tries.get(attempt);
            if (p.account.isPending(attempt) && one.ride != null) {
                one.ride.cancel();
            }
        }
    }

    @Override
    public void timer(long atMicros, long token) {
        loop.schedule(
                () -> choice.timer(micros.getAsLong(), token),
                Math.max(0, atMicros - micros.getAsLong()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(long server) {}

    @Override
    public void closeIdle(long server) {}

    @Override
    public void subscribe() {}

    @Override
    public void log(String line) {
        LOG.debug(service + ": " + line);
    }
}
