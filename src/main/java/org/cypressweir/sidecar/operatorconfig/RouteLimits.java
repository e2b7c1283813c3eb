package org.cypressweir.sidecar.operatorconfig;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.NamedLimit;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ClassSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;

/**
 * The limits in force for a route, each with its origin: the route's own value, else its class's, else that of the
 * settings; always bounded by the pool's limit.
 */
record RouteLimits(
        Setting<Long> timeout,
        Setting<Long> attemptTimeout,
        Setting<Long> attempts,
        Setting<Set<Retryable>> retryOn,
        Setting<Long> hedges,
        Setting<Long> hedgeAfter,
        List<RequestBound> requestBounds) {

    /** A limit on requests in progress and queued, counted per route or per class. */
    record RequestBound(String name, Setting<Long> requests, Setting<Long> queue) {}

    static RouteLimits of(
            RouteSection route,
            RequestClass requestClass,
            ClassSection classSection,
            PoolSection pool,
            Limits settingsLimits) {
        LimitSet routeSet = route.limits();
        LimitSet classSet = classSection == null ? new LimitSet() : classSection.limits();
        LimitSet poolSet = pool == null ? new LimitSet() : pool.limits();
        Setting<Long> timeout = atMost(
                firstSet(
                        routeSet,
                        classSet,
                        LimitKey.TIMEOUT,
                        new Setting<>(requestClass.deadlineMicros(), 0, "the class's deadline in the settings")),
                poolSet.number(LimitKey.TIMEOUT),
                false);
        Setting<Long> attemptTimeout = atMost(
                firstSet(
                        routeSet,
                        classSet,
                        LimitKey.ATTEMPT_TIMEOUT,
                        new Setting<>(0L, 0, "default: what the request has left")),
                poolSet.number(LimitKey.ATTEMPT_TIMEOUT),
                true);
        Setting<Long> attempts = atMost(
                firstSet(
                        routeSet,
                        classSet,
                        LimitKey.ATTEMPTS,
                        new Setting<>(
                                (long) Math.max(1, settingsLimits.maxAttempts()), 0, "attempts_cap of the settings")),
                poolSet.number(LimitKey.ATTEMPTS),
                false);
        Setting<Long> hedges = atMost(
                firstSet(routeSet, classSet, LimitKey.HEDGES, new Setting<>(0L, 0, "default")),
                poolSet.number(LimitKey.HEDGES),
                false);
        Setting<Long> hedgeAfter =
                firstSet(routeSet, classSet, LimitKey.HEDGE_AFTER, new Setting<>(0L, 0, "default: none"));
        Setting<Set<Retryable>> retryOn = routeSet.outcomes() != null
                ? routeSet.outcomes()
                : classSet.outcomes() != null
                        ? classSet.outcomes()
                        : new Setting<>(
                                Retryable.allowed(requestClass.effect()), 0, "default: what the class's effect allows");
        if (poolSet.outcomes() != null && !poolSet.outcomes().value().containsAll(retryOn.value())) {
            Set<Retryable> allowed = new TreeSet<>(retryOn.value());
            allowed.retainAll(poolSet.outcomes().value());
            retryOn = new Setting<>(
                    allowed,
                    poolSet.outcomes().line(),
                    retryOn.origin() + ", within " + poolSet.outcomes().origin());
        }
        List<RequestBound> requestBounds = new ArrayList<>();
        addRequestBound("route " + route.name(), routeSet, requestBounds);
        addRequestBound("class " + requestClass.name(), classSet, requestBounds);
        return new RouteLimits(timeout, attemptTimeout, attempts, retryOn, hedges, hedgeAfter, requestBounds);
    }

    private static Setting<Long> firstSet(
            LimitSet route, LimitSet classLimits, LimitKey key, Setting<Long> defaultSetting) {
        Setting<Long> set = route.number(key) != null ? route.number(key) : classLimits.number(key);
        return set != null ? set : defaultSetting;
    }

    /** Returns the lower of a value and its pool's bound. */
    private static Setting<Long> atMost(Setting<Long> value, Setting<Long> bound, boolean zeroMeansUnlimited) {
        boolean above = bound != null && (value.value() > bound.value() || zeroMeansUnlimited && value.value() == 0);
        return above ? bound : value;
    }

    private static void addRequestBound(String name, LimitSet limits, List<RequestBound> bounds) {
        Setting<Long> requests = limits.number(LimitKey.MAX_REQUESTS);
        Setting<Long> queue = limits.number(LimitKey.MAX_QUEUE);
        if (requests != null || queue != null) {
            bounds.add(new RequestBound(name, requests, queue));
        }
    }

    /** Converts the limits to the load balancer's form. */
    RequestPolicy terms() {
        List<NamedLimit> bounds = requestBounds.stream()
                .map(c -> new NamedLimit(c.name(), valueOrUnlimited(c.requests()), valueOrUnlimited(c.queue())))
                .toList();
        return new RequestPolicy(
                attempts.value().intValue(),
                attemptTimeout.value(),
                Retryable.results(retryOn.value()),
                hedges.value().intValue(),
                hedgeAfter.value(),
                bounds,
                false);
    }

    private static int valueOrUnlimited(Setting<Long> setting) {
        return setting == null ? Integer.MAX_VALUE : setting.value().intValue();
    }
}
