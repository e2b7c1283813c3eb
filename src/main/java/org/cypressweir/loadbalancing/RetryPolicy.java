package org.cypressweir.loadbalancing;

import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;

/** Decides whether a request may have a further attempt, and at which servers: rule on effects, cap, budget. */
final class RetryPolicy {

    /** Where the site sets no budget: further attempts as a part of first ones; how many are saved up. */
    private static final double RETRY_RATIO = 0.15;

    private static final double MAX_TOKENS = 10;

    private final BalancerContext context;
    /** Further attempts against the requests taken, where the site sets a budget; else null. */
    private final SlidingWindowBudget siteBudget;

    private double tokens = MAX_TOKENS / 2;
    private long requestsTaken;

    RetryPolicy(BalancerContext context) {
        this.context = context;
        siteBudget = SlidingWindowBudget.of(context.settings.rules());
    }

    void requestTaken() {
        tokens = Math.min(MAX_TOKENS, tokens + RETRY_RATIO);
        requestsTaken++;
    }

    void attemptAdded(long now) {
        tokens--;
        if (siteBudget != null) siteBudget.spend(now, requestsTaken);
    }

    /** The retry budget. Where the site sets one below one nothing is sure, and nothing is sent again. */
    boolean budgetAllows(long now) {
        if (siteBudget == null) return tokens >= 1;
        return siteBudget.allows(now, requestsTaken) && context.settings.rules().extraFloor() >= 1;
    }

    /** The request may have one attempt more: by the site's cap, or fewer where the operators say so. */
    boolean capAllows(PendingRequest request) {
        int most = Math.min(request.attemptLimit, request.request.terms().attempts());
        return request.attempts.size() < Math.max(1, most);
    }

    /** A retry is allowed by effect, cap and the ends of the attempts before; the budget is another question. */
    boolean mayRetry(PendingRequest request) {
        for (Attempt attempt : request.attempts) {
            if (!request.request.terms().retryOn().contains(attempt.result)) return false;
        }
        return capAllows(request) && (mayRefuse(request) || request.rules.effect() == Effect.KEYED);
    }

    /** Rule on effects: whether an attempt may go to this server; never to one twice. */
    boolean mayRunOn(long now, PendingRequest request, Backend backend) {
        if (request.hasTried(backend) || backend.isFullOfLongLived && request.isLongLived()) return false;
        Attempt first = request.firstThatMayRun();
        if (first == null || request.rules.effect() == Effect.SAFE) return true;
        long memoryMicros = request.rules.dedupWindowMicros() - context.settings.tickMicros();
        if (request.rules.effect() == Effect.UNSAFE || now - first.sentAt >= memoryMicros) return false;
        return switch (request.rules.group()) {
            case ALL -> true;
            case ZONE -> first.backend.server.zone() == backend.server.zone();
            case CELL -> first.backend.server.cell() == backend.server.cell();
        };
    }

    /** A refusal says that the request has no effect: none has run, or repeats do no harm. */
    boolean mayRefuse(PendingRequest request) {
        Effect effect = request.rules.effect();
        boolean repeatsAreDropped = effect == Effect.KEYED && request.rules.group() == Group.ALL;
        return effect == Effect.SAFE || repeatsAreDropped || request.firstThatMayRun() == null;
    }
}
