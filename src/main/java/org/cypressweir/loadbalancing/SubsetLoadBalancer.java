package org.cypressweir.loadbalancing;

import java.util.List;
import org.cypressweir.loadbalancing.BalancerTimers.Kind;

/**
 * The load balancer of an instance: takes the events of {@link LoadBalancer} and has each of its parts decide what is
 * theirs. It decides itself which requests wait, are served next or are refused, and when servers are probed.
 *
 * <p>The subset of servers is by {@link SubsetAssignment}, the server of an attempt by {@link EndpointSelector},
 * retries by {@link RetryPolicy}, limits by {@link AdmissionControl}, ejection by {@link OutlierDetector}, and what an
 * outcome says by {@link OutcomeLearner}. Each exception to the ordinary path says when it acts.
 */
public final class SubsetLoadBalancer implements LoadBalancer {

    /** Result that may be spent on probes; probes at once, rounds of them, and probes that a request earns at most. */
    private static final double PROBE_SPEND = 0.012;

    private static final int PROBE_WIDTH = 3;
    private static final int MAX_PROBE_ROUNDS = 4;
    private static final int MAX_PROBES = 4;
    /** Part of its time for which a request is held at most before a server has it. */
    private static final double MAX_WAIT = 0.45;
    /** Parts of a target: for which a report is fresh; after which those that wait are looked at again. */
    private static final double FRESH = 0.05;

    private static final double QUEUE_LOOK = 0.03;
    /** List lines that discovery is taken to send all instances in the time within which each must ask. */
    private static final double LIST_LINES = 8000;
    /** Requests that a tenant may be ahead of its share before it counts as beyond. */
    private static final double SHARE_SLACK = 5;

    private final BalancerContext context;
    private final RequestClasses classes;
    private final WeightedAccounts shares;
    private final int lastTenant;
    private final PendingRequests requests = new PendingRequests();
    private final OutstandingAttempts outstanding = new OutstandingAttempts();
    private final BalancerTimers timers;

    private final SubsetAssignment subsets;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private final AdmissionControl admission;
    private final EndpointSelector selector;
    private final OutcomeLearner learner;

    private final ProbeBudget probes;
    private long sheddingLoggedAt;
    private int discoveryFailures;
    /** The timer that looks at all that wait is running. */
    private boolean isQueueLookDue;
    /** No server comes any more. */
    private boolean isClosing;

    public SubsetLoadBalancer(Settings settings, Actions actions) {
        context = new BalancerContext(settings, actions);
        classes = context.classes;
        timers = new BalancerTimers(actions);
        shares = WeightedAccounts.of(settings.tenants(), SHARE_SLACK);
        lastTenant = Math.max(1, settings.tenants().size()) - 1;
        subsets = new SubsetAssignment(context);
        retries = new RetryPolicy(context);
        outliers = new OutlierDetector(context, subsets.tree, outstanding);
        admission = new AdmissionControl(context);
        selector = new EndpointSelector(context, subsets, outliers, retries);
        learner = new OutcomeLearner(context, admission, outliers);
        boolean probing = context.limits.probing() && settings.reports() != ReportSource.NONE;
        probes = new ProbeBudget(
                probing ? Math.min(MAX_PROBES, PROBE_SPEND / Math.max(settings.probePrice(), 1e-6)) : 0);
    }

    /** What is in hand keeps its rules and the attempts that it may have. */
    @Override
    public void retune(long now, Settings next) {
        context.settings = next;
        Limits limits = context.limits;
        context.limits = next.limits().with(limits.open(), limits.held(), limits.connections());
        classes.replace(next.classes());
    }

    // ---- Lists of servers

    @Override
    public void servers(long now, ListKind kind, List<Server> list) {
        if (context.settings.discoveryOnAsk() && kind == ListKind.CACHED) askLater(now, list.size());
        if (kind == ListKind.FAILED) {
            askAgain(now);
            return;
        }
        discoveryFailures = 0;
        context.arrivals.start(now);
        context.backends.apply(list, kind != ListKind.CHANGES, subsets, outliers);
        if (subsets.settle()) timers.start(now + 1, Kind.RELABEL, null);
        serveWaiting(now, null);
    }

    /** All instances of a fleet may start at once, and discovery sends only so many lines a second. */
    private void askLater(long now, int lines) {
        double spread = Math.min(0.8, lines * (double) context.settings.replicas() / LIST_LINES);
        long wait = (long) (spread * context.settings.rules().askEveryMicros()) + 20 * context.settings.tickMicros();
        timers.start(now + context.random.nextLong(1 + wait), Kind.DISCOVERY, null);
    }

    /** Keeps the list, and asks again with jittered back-off inside four times the rule's time. */
    private void askAgain(long now) {
        double wait = context.settings.rules().askEveryMicros() / 8.0 * (1 << Math.min(discoveryFailures++, 3));
        timers.start(now + 1 + (long) (wait * (0.5 + context.random.nextDouble())), Kind.DISCOVERY, null);
        if (discoveryFailures == 1) {
            context.actions.log("discovery failed: keeping the last list of " + subsets.tree.size() + " ready servers");
        }
    }

    // ---- Requests

    @Override
    public void request(long now, Request request) {
        int number = classes.number(request.requestClass());
        int tenant = Math.min(Math.max(0, request.tenant()), lastTenant);
        int attempts = context.limits.attempts();
        PendingRequest pending = new PendingRequest(now, request, number, classes.get(number), tenant, attempts);
        if (!requests.add(pending)) return;
        pending.scale = classes.scale(request.hintMicros());
        pending.randomSeed = context.random.nextLong();
        pending.isOverQuota = shares.spend(tenant);
        pending.cell = subsets.chooseCell(pending);
        retries.requestTaken();
        context.arrivals.count(now, context.admissionProbability);
        outliers.watch(now);
        if (requests.size() > context.limits.open()) makeRoom(now, pending, null);
        for (Bound bound : request.terms().bounds()) {
            if (requests.enter(bound) > bound.open() && !pending.isOver) makeRoom(now, pending, bound);
        }
        if (!pending.isOver) admit(now, pending);
    }

    private void admit(long now, PendingRequest pending) {
        long leastMicros = 2 * context.settings.tickMicros();
        if (pending.request.deadlineMicros() - now <= classes.targetMicros / 20 + leastMicros) {
            // No time is left for a probe or a timer (incident i0f9bed: an arrival at its own deadline).
            end(now, pending);
        } else if (context.hasManyInstances && probes.isEmpty() && admission.refuses(pending)) {
            // A quiet instance sees no queue, only late answers. Harm: a better server could serve what it refuses.
            end(now, pending);
        } else if (probe(now, pending)) {
            timers.start(now + probeWaitMicros(), Kind.PROBED, pending);
        } else {
            sendOrHold(now, pending);
        }
    }

    /** Past the most in hand or waiting, at all or under this bound, the waiting or new request that is worth
     * least is refused, of equals the oldest: its time is the shortest. */
    private void makeRoom(long now, PendingRequest fresh, Bound bound) {
        PendingRequest least = null;
        for (int lot = 0; lot < PendingRequests.lots(classes.count()); lot++) {
            PendingRequest oldest = requests.oldest(lot, bound, fresh);
            if (oldest != null && (least == null || isWorthLess(oldest, least))) least = oldest;
        }
        end(now, least == null || value(fresh) < value(least) ? fresh : least);
    }

    private boolean isWorthLess(PendingRequest one, PendingRequest other) {
        return value(one) < value(other) || value(one) == value(other) && requests.isBefore(one, other);
    }

    private double value(PendingRequest pending) {
        return pending.rules.worth() * (pending.isOverQuota ? context.settings.overShareWorth() : 1);
    }

    /** Where only probes tell the load, servers are probed first: the request waits for one usual probe time. */
    private boolean probe(long now, PendingRequest pending) {
        if (probes.isEmpty() || subsets.tree.size() == 0) return false;
        if (pending.probeRounds++ == 0) probes.earn();
        int probed = 0;
        for (IndexedMembers<Backend> node : subsets.path(pending)) {
            boolean isLarge = node.size() > EndpointSelector.MAX_DRAWS;
            for (int i = 0; i < Math.min(EndpointSelector.MAX_DRAWS, node.size()); i++) {
                if (probed >= PROBE_WIDTH || !probes.allows()) break;
                Backend backend = node.get(isLarge ? context.random.nextInt(node.size()) : i);
                if (isWorthProbe(now, pending, backend)) {
                    probes.spend();
                    backend.probedAt = now;
                    context.actions.probe(backend.id);
                    probed++;
                }
            }
        }
        return probed > 0;
    }

    private boolean isWorthProbe(long now, PendingRequest pending, Backend backend) {
        boolean isStale = backend.probedAt == 0 || now - backend.probedAt > classes.targetMicros * FRESH;
        boolean isOpen = !backend.isEjected() && now >= backend.pausedUntil;
        return isStale && isOpen && selector.isConnectable(now, pending, backend);
    }

    private long probeWaitMicros() {
        double usual = probes.usualMicros() * 1.5 + context.settings.tickMicros();
        return (long) Math.min(usual, classes.targetMicros * FRESH);
    }

    // ---- The queue

    /** Sends the request, or holds it in the queue. */
    private void sendOrHold(long now, PendingRequest pending) {
        if (pending.isOver || pending.isHeld()) return;
        requests.hold(pending);
        serveWaiting(now, null);
        if (pending.isHeld() && isClosing) end(now, pending);
        else if (pending.isHeld()) boundWaiting(now, pending);
        if (!pending.isHeld()) return;
        timers.start(Math.max(now + 1, lastUseful(pending)), Kind.WAITING, pending);
        lookAgain(now);
        if (now - sheddingLoggedAt < 10 * classes.targetMicros) return;
        sheddingLoggedAt = now;
        context.actions.log("holding: " + requests.waiting() + " requests wait, no server has room");
    }

    private void boundWaiting(long now, PendingRequest fresh) {
        if (requests.waiting() > context.limits.held()) makeRoom(now, fresh, null);
        for (Bound bound : fresh.request.terms().bounds()) {
            if (fresh.isHeld() && requests.waitingUnder(bound) > bound.held()) makeRoom(now, fresh, bound);
        }
    }

    /** One timer for all that wait, however many: what holds them back may end with time alone. */
    private void lookAgain(long now) {
        if (isQueueLookDue || requests.waiting() == 0) return;
        isQueueLookDue = true;
        timers.start(now + 1 + (long) (classes.targetMicros * QUEUE_LOOK), Kind.WAITING, null);
    }

    /** Until when a waiting request may still earn something; after that it is refused, which costs nothing.
     * Where more than half of those that may be in hand are, one that no server may have goes before half of
     * its time: its client can still try again, and its connection is free for what is in time. */
    private long lastUseful(PendingRequest pending) {
        long deadline = pending.request.deadlineMicros();
        long end = deadline - 2 * context.settings.tickMicros();
        if (pending.firstThatMayRun() == null && requests.size() > context.limits.open() / 2) {
            end = Math.min(end, pending.arrivedAt + (long) (MAX_WAIT * (deadline - pending.arrivedAt)));
        }
        if (pending.rules.lateShare() == 0) end = Math.min(end, pending.targetAt - (long) classes.usualMicros(pending));
        return end;
    }

    /** Serves the queue while servers have room: inside a share first, what stays last, of equals the newest.
     * A server that has come free is asked for by name, since draws from a large fleet would miss it. */
    private void serveWaiting(long now, Backend freed) {
        while (requests.waiting() > 0) {
            PendingRequest next = requests.newest();
            Backend backend = selector.choose(now, next);
            boolean mayTakeFreed = backend == null && freed != null && freed.isIn();
            if (mayTakeFreed && selector.hasRoom(now, next, freed, subsets.tree.size())) backend = freed;
            if (backend == null) return;
            requests.release(next);
            send(now, next, backend, 0);
        }
    }

    /** A hedged request, where the operators asked for one: after the time that they set, of a request that may
     * repeat, to a server that has room, within cap and retry budget as any further attempt. */
    private void hedge(long now, PendingRequest pending) {
        int copies = pending.request.terms().copies();
        boolean isAlone = !pending.isHeld() && pending.attemptsOut > 0 && pending.attemptsOut <= copies;
        boolean may = isAlone && pending.rules.effect() != Effect.UNSAFE && retries.capAllows(pending);
        Backend backend = may && retries.budgetAllows(now) ? selector.choose(now, pending) : null;
        if (backend != null) send(now, pending, backend, copies);
    }

    // ---- Attempts

    /** The single place of sending. The checks repeat what the pick has seen, so no path can pass them by. */
    private void send(long now, PendingRequest pending, Backend backend, int beside) {
        boolean isFirst = pending.attempts.isEmpty();
        if (pending.isOver
                || pending.isStreaming
                || !backend.isReady
                || pending.attemptsOut > beside
                || !retries.mayRunOn(now, pending, backend)
                || pending.request.deadlineMicros() <= now
                || !retries.capAllows(pending)
                || !isFirst && !retries.budgetAllows(now)) {
            if (!pending.isOver && pending.attemptsOut == 0) end(now, pending);
            return;
        }
        double load = context.estimates.knowsLoad() ? context.estimates.load(now, backend) : 0;
        boolean isWarm = selector.isWarm(now, backend);
        Attempt attempt = new Attempt(pending, backend, now, classes.usualMicros(pending), load, isWarm);
        if (!isWarm && backend.isConnected && backend.inFlight.isEmpty()) {
            backend.isConnected = false;
            backend.connectionUsedAt = 0;
            context.actions.closeIdle(backend.id);
        }
        if (!isFirst) retries.attemptAdded(now);
        outstanding.sent(attempt);
        Terms terms = pending.request.terms();
        context.actions.send(pending.request.id(), backend.id, terms.attemptMicros());
        if (terms.copies() > 0 && context.limits.secondCopies()) {
            timers.start(now + terms.copyAfterMicros(), Kind.HEDGE, pending);
        }
    }

    /** The single place where this instance ends a request. */
    private void end(long now, PendingRequest pending) {
        if (retries.mayRefuse(pending)) {
            boolean advises = context.limits.retryAdvice();
            double stay = advises ? classes.targetMicros * (1 + context.random.nextDouble()) / 4 : 0;
            context.actions.refuse(pending.request.id(), Math.min((long) stay, context.limits.maxRetryAdviceMicros()));
        } else {
            context.actions.fail(pending.request.id());
        }
        finish(pending);
    }

    /** The request has its final answer, whoever gave it: what is still out is called off. */
    private void finish(PendingRequest pending) {
        if (pending.isOver) return;
        pending.isOver = true;
        requests.release(pending);
        requests.leave(pending);
        boolean cancels = context.limits.cancelling();
        for (Attempt attempt : pending.attempts) {
            if (cancels && attempt.result == null) context.actions.cancel(pending.request.id(), attempt.number);
        }
        forget(pending);
    }

    /** A request is kept until the last of its attempts has ended. */
    private void forget(PendingRequest pending) {
        if (pending.isOver && pending.attemptsOut == 0) requests.remove(pending);
    }

    @Override
    public void outcome(long now, Outcome outcome) {
        Attempt attempt = find(outcome.requestId(), outcome.attempt());
        if (attempt == null || attempt.result != null) return;
        PendingRequest pending = attempt.request;
        Backend backend = attempt.backend;
        outstanding.ended(attempt, outcome.result());
        context.backends.removeIfUnused(backend);
        learner.learn(now, attempt, outcome);
        if (outcome.closed()) finish(pending);
        else if (!pending.isOver && pending.attemptsOut == 0 && !pending.isHeld()) retryOrEnd(now, pending);
        forget(pending);
        serveWaiting(now, backend);
    }

    private Attempt find(String requestId, int number) {
        PendingRequest pending = requests.get(requestId);
        boolean isKnown = pending != null && number >= 0 && number < pending.attempts.size();
        return isKnown ? pending.attempts.get(number) : null;
    }

    private void retryOrEnd(long now, PendingRequest pending) {
        boolean isUseful = now < lastUseful(pending) && !isClosing;
        if (isUseful && retries.mayRetry(pending) && retries.budgetAllows(now)) sendOrHold(now, pending);
        else end(now, pending);
    }

    // ---- Other events

    @Override
    public void probed(long now, long server, Result result, long elapsedMicros, LoadReport report) {
        Backend backend = context.backends.get(server);
        if (backend == null) return;
        if (result == Result.SERVED) {
            probes.answered(Math.min(elapsedMicros, classes.targetMicros / 10));
            context.estimates.addInFlight(now, backend, report);
        }
        serveWaiting(now, backend);
    }

    @Override
    public void streamBegan(long now, String requestId, int number, long server, long elapsedMicros) {
        Attempt began = find(requestId, number);
        if (began == null || began.request.isStreaming) return;
        context.estimates.addPeak(now, began.backend, elapsedMicros / began.usualMicros);
        outstanding.streams(began);
    }

    @Override
    public void clientLeft(long now, String requestId) {
        PendingRequest pending = requests.get(requestId);
        if (pending != null) finish(pending);
    }

    @Override
    public void burden(long now, long server, double requests, boolean full) {
        Backend backend = context.backends.get(server);
        if (backend == null) return;
        backend.longLivedLoad = requests;
        backend.isFullOfLongLived = full;
    }

    @Override
    public void limits(long now, int open, int held, int connections) {
        context.limits = context.limits.with(open, held, connections);
        subsets.openCells();
    }

    @Override
    public int avoided(long now) {
        return outliers.ejectedServers();
    }

    @Override
    public void closing(long now) {
        isClosing = true;
        requests.forEachWaiting(pending -> end(now, pending));
    }

    @Override
    public void timer(long now, long token) {
        Kind kind = BalancerTimers.kind(token);
        PendingRequest pending = timers.take(token);
        if (pending == null) timerOfBalancer(now, kind);
        else if (!pending.isOver && !pending.isStreaming) timerOfRequest(now, kind, pending);
    }

    private void timerOfBalancer(long now, Kind kind) {
        if (kind == Kind.DISCOVERY) context.actions.subscribe();
        if (kind == Kind.RELABEL && subsets.relabel(SubsetAssignment.RELABEL_BATCH))
            timers.start(now + 1, Kind.RELABEL, null);
        if (kind != Kind.WAITING) return;
        isQueueLookDue = false;
        requests.forEachWaiting(pending -> {
            if (now >= lastUseful(pending)) end(now, pending);
            else probe(now, pending);
        });
        serveWaiting(now, null);
        lookAgain(now);
    }

    private void timerOfRequest(long now, Kind kind, PendingRequest pending) {
        if (kind == Kind.HEDGE) {
            hedge(now, pending);
        } else if (kind == Kind.PROBED) {
            boolean mayProbe = pending.probeRounds < MAX_PROBE_ROUNDS && selector.choose(now, pending) == null;
            if (mayProbe && probe(now, pending)) timers.start(now + probeWaitMicros(), Kind.PROBED, pending);
            else sendOrHold(now, pending);
        } else if (pending.isHeld()) {
            if (now >= lastUseful(pending)) end(now, pending);
            else timers.start(lastUseful(pending), Kind.WAITING, pending);
        }
    }
}
