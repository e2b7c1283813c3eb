package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.loadbalancing.LoadBalancer.Bound;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Terms;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ClassSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;

/**
 * The limits in force for a route, each with where it came from: the route's own, else its class's, else what
 * the settings say; never more than its pool allows.
 */
record RouteLimits(
        Setting<Long> timeout,
        Setting<Long> attemptTimeout,
        Setting<Long> attempts,
        Setting<Set<Retryable>> retryOn,
        Setting<Long> hedges,
        Setting<Long> hedgeAfter,
        List<Counted> counted) {

    /** A bound on requests in hand or waiting, which is counted for the route or for its class. */
    record Counted(String name, Setting<Long> requests, Setting<Long> queue) {}

    static RouteLimits of(RouteSection route, RequestClass c, ClassSection own, PoolSection pool, Limits site) {
        LimitSet r = route.limits();
        LimitSet k = own == null ? new LimitSet() : own.limits();
        LimitSet p = pool == null ? new LimitSet() : pool.limits();
        Setting<Long> timeout = within(
                first(
                        r,
                        k,
                        LimitKey.TIMEOUT,
                        new Setting<>(c.deadlineMicros(), 0, "the class's deadline in the settings")),
                p.number(LimitKey.TIMEOUT),
                false);
        Setting<Long> attemptTimeout = within(
                first(r, k, LimitKey.ATTEMPT_TIMEOUT, new Setting<>(0L, 0, "default: what the request has left")),
                p.number(LimitKey.ATTEMPT_TIMEOUT),
                true);
        Setting<Long> attempts = within(
                first(
                        r,
                        k,
                        LimitKey.ATTEMPTS,
                        new Setting<>((long) Math.max(1, site.attempts()), 0, "attempts_cap of the settings")),
                p.number(LimitKey.ATTEMPTS),
                false);
        Setting<Long> hedges =
                within(first(r, k, LimitKey.HEDGES, new Setting<>(0L, 0, "default")), p.number(LimitKey.HEDGES), false);
        Setting<Long> hedgeAfter = first(r, k, LimitKey.HEDGE_AFTER, new Setting<>(0L, 0, "default: none"));
        Setting<Set<Retryable>> retryOn = r.outcomes() != null
                ? r.outcomes()
                : k.outcomes() != null
                        ? k.outcomes()
                        : new Setting<>(Retryable.allowed(c.effect()), 0, "default: what the class's effect allows");
        if (p.outcomes() != null && !p.outcomes().value().containsAll(retryOn.value())) {
            Set<Retryable> both = new TreeSet<>(retryOn.value());
            both.retainAll(p.outcomes().value());
            retryOn = new Setting<>(
                    both,
                    p.outcomes().line(),
                    retryOn.origin() + ", within " + p.outcomes().origin());
        }
        List<Counted> counted = new ArrayList<>();
        count("route " + route.name(), r, counted);
        count("class " + c.name(), k, counted);
        return new RouteLimits(timeout, attemptTimeout, attempts, retryOn, hedges, hedgeAfter, counted);
    }

    private static Setting<Long> first(LimitSet route, LimitSet own, LimitKey key, Setting<Long> otherwise) {
        Setting<Long> set = route.number(key) != null ? route.number(key) : own.number(key);
        return set != null ? set : otherwise;
    }

    /** The lower of a value and its pool's bound. */
    private static Setting<Long> within(Setting<Long> value, Setting<Long> bound, boolean zeroIsNone) {
        boolean above = bound != null && (value.value() > bound.value() || zeroIsNone && value.value() == 0);
        return above ? bound : value;
    }

    private static void count(String name, LimitSet limits, List<Counted> into) {
        Setting<Long> requests = limits.number(LimitKey.MAX_REQUESTS);
        Setting<Long> queue = limits.number(LimitKey.MAX_QUEUE);
        if (requests != null || queue != null) {
            into.add(new Counted(name, requests, queue));
        }
    }

    /** The same for the module. */
    Terms terms() {
        List<Bound> bounds = counted.stream()
                .map(c -> new Bound(c.name(), most(c.requests()), most(c.queue())))
                .toList();
        return new Terms(
                attempts.value().intValue(),
                attemptTimeout.value(),
                Retryable.results(retryOn.value()),
                hedges.value().intValue(),
                hedgeAfter.value(),
                bounds,
                false);
    }

    private static int most(Setting<Long> setting) {
        return setting == null ? Integer.MAX_VALUE : setting.value().intValue();
    }
}
