package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.cypressweir.fleet.membership.ShareClaim;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ClassSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.FleetSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.ListenerSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PoolSection;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;
import org.cypressweir.sidecar.route.Overlaps;
import org.cypressweir.sidecar.route.PathPattern;
import org.cypressweir.sidecar.route.Route;
import org.cypressweir.sidecar.route.StaticServer;

/**
 * Semantic checks of a file against the settings and against itself: names exist, overlapping routes have an order,
 * and no combination of limits breaks a rule. Problems are reported, never corrected silently.
 */
final class Checks {

    /** The file descriptors that the process reserves for itself allow for this many. */
    static final int MAX_LISTENERS = 8;

    private static final long MAX_IDLE_MICROS = 3_600_000_000L;
    private static final PathPattern HEALTH_PATH = PathPattern.parse("/healthz");

    private final Facts facts;
    private final OperatorsFile file;
    private final Problems problems;

    Checks(Facts facts, OperatorsFile file, Problems problems) {
        this.facts = facts;
        this.file = file;
        this.problems = problems;
    }

    void run() {
        checkListeners();
        checkNames();
        checkRouteOrder();
        for (RouteSection route : file.routes()) {
            if (route.requestClass() != null && route.pool() != null) {
                facts.requestClass(route.requestClass().value()).ifPresent(c -> checkLimits(route, c));
            }
        }
        file.pools().values().stream()
                .filter(p -> p.cells() != null)
                .forEach(p -> new CellsChecks(facts, file, p, problems).run());
        file.pools().values().forEach(p -> checkQueue("pool", p.name(), p.limits()));
        file.classes().values().forEach(c -> checkQueue("class", c.name(), c.limits()));
        file.routes().forEach(r -> checkQueue("route", r.name(), r.limits()));
        if (file.fleet() != null) {
            checkFleet(file.fleet());
        }
        checkTotal(LimitKey.MAX_CONNECTIONS, facts.serverConnections(), "descriptors for servers");
        checkTotal(LimitKey.MAX_REQUESTS, facts.settings().limits().maxOpen(), "requests that may be in hand");
    }

    // ---- Names

    private void checkListeners() {
        if (file.listeners().size() > MAX_LISTENERS) {
            problems.add(file.listeners().get(MAX_LISTENERS).line(), "more than " + MAX_LISTENERS + " listeners");
        }
        List<ListenerSection> seen = new ArrayList<>();
        for (ListenerSection listener : file.listeners()) {
            for (ListenerSection other : seen) {
                if (conflict(listener.address(), other.address())) {
                    problems.add(
                            listener.line(),
                            "listener '" + listener.name() + "' clashes with '"
                                    + other.name() + "' (line " + other.line() + "): both take port "
                                    + other.address().getPort());
                }
            }
            seen.add(listener);
        }
    }

    private static boolean conflict(InetSocketAddress a, InetSocketAddress b) {
        return a != null
                && b != null
                && a.getPort() == b.getPort()
                && a.getPort() != 0
                && (a.getAddress().equals(b.getAddress())
                        || a.getAddress().isAnyLocalAddress()
                        || b.getAddress().isAnyLocalAddress());
    }

    private void checkNames() {
        if (file.routes().isEmpty()) {
            problems.add(1, "the file has no route, so nothing would be served");
        }
        Set<String> pools = new HashSet<>();
        Set<String> classes = new HashSet<>();
        for (RouteSection route : file.routes()) {
            if (route.pool() != null) {
                pools.add(route.pool().value());
                requireKnown("pool", route.pool(), file.pools().keySet());
            }
            if (route.requestClass() != null) {
                classes.add(route.requestClass().value());
                requireKnown("class", route.requestClass(), new HashSet<>(facts.classNames()));
            }
        }
        for (PoolSection pool : file.pools().values()) {
            if (!pools.contains(pool.name())) {
                problems.add(pool.line(), "no route uses pool '" + pool.name() + "'");
            }
        }
        for (ClassSection c : file.classes().values()) {
            if (facts.requestClass(c.name()).isEmpty()) {
                problems.add(
                        c.line(),
                        "the settings have no class '" + c.name() + "'"
                                + SpellingHint.didYouMean(c.name(), facts.classNames()));
            } else if (!classes.contains(c.name())) {
                problems.add(c.line(), "no route has class '" + c.name() + "', so this section does nothing");
            }
        }
    }

    private void requireKnown(String kind, Setting<String> name, Set<String> known) {
        if (!known.contains(name.value())) {
            String where = kind.equals("class") ? "the settings have no class '" : "there is no pool '";
            problems.add(name.line(), where + name.value() + "'" + SpellingHint.didYouMean(name.value(), known));
        }
    }

    private void checkRouteOrder() {
        Map<String, RouteSection> byName = new HashMap<>();
        List<Route<RouteSection>> routes = new ArrayList<>();
        for (RouteSection route : file.routes()) {
            byName.put(route.name(), route);
            if (route.match() != null) {
                if (route.match().path().equals(HEALTH_PATH)) {
                    problems.add(
                            route.line(),
                            "route '" + route.name() + "' is hidden: the sidecar itself" + " answers " + HEALTH_PATH);
                }
                routes.add(new Route<>(route.name(), route.match(), route));
            }
        }
        for (Overlaps.Pair pair : Overlaps.of(routes)) {
            RouteSection route = byName.get(pair.route());
            RouteSection other = byName.get(pair.other());
            RouteSection later = pair.hidden() || route.line() > other.line() ? route : other;
            RouteSection earlier = later == route ? other : route;
            problems.add(
                    later.line(),
                    pair.hidden()
                            ? "route '" + later.name() + "' is hidden: '" + earlier.name() + "' (line " + earlier.line()
                                    + ") goes before it and matches all that it matches"
                            : "routes '" + later.name() + "' and '" + earlier.name() + "' (line " + earlier.line()
                                    + ") match the same requests and neither is more specific; give one a higher"
                                    + " 'priority'");
        }
    }

    // ---- Limits

    private void checkLimits(RouteSection route, RequestClass requestClass) {
        ClassSection classSection = file.classes().get(requestClass.name());
        PoolSection pool = file.pools().get(route.pool().value());
        RouteLimits limits = RouteLimits.of(
                route, requestClass, classSection, pool, facts.settings().limits());
        checkPoolBounds(route, pool);
        checkAttempts(route, requestClass, classSection, limits);
        checkTimes(route, requestClass, classSection, limits);
        checkHedges(route, requestClass, pool, limits);
        checkResume(route, requestClass);
    }

    private void checkResume(RouteSection route, RequestClass requestClass) {
        boolean repeats = route.webSocket() != null
                && route.webSocket().resume() != null
                && route.webSocket().resume().firstMessage();
        if (repeats && requestClass.effect() == Effect.UNSAFE) {
            problems.add(
                    route.firstMessageLine(),
                    "class '" + requestClass.name() + "' is unsafe: its first message may have"
                            + " run at the server before and can't be repeated to another");
        }
    }

    /** Reports route limits above the pool's limit, since they could never take effect. */
    private void checkPoolBounds(RouteSection route, PoolSection pool) {
        if (pool == null) {
            return;
        }
        for (LimitKey key : LimitKey.ROUTE_KEYS) {
            if (key == LimitKey.RETRY_ON) {
                checkPoolOutcomes(route, pool);
                continue;
            }
            Setting<Long> routeSetting = route.limits().number(key);
            Setting<Long> bound = pool.limits().number(key);
            if (routeSetting != null && bound != null && routeSetting.value() > bound.value()) {
                problems.add(
                        routeSetting.line(),
                        "'" + key.key + "' is " + key.text(routeSetting.value()) + ", and pool '"
                                + pool.name() + "' allows " + key.text(bound.value()) + " (line " + bound.line()
                                + ")");
            }
        }
    }

    private void checkPoolOutcomes(RouteSection route, PoolSection pool) {
        Setting<Set<Retryable>> routeSetting = route.limits().outcomes();
        Setting<Set<Retryable>> bound = pool.limits().outcomes();
        for (Retryable outcome : routeSetting == null || bound == null ? Set.<Retryable>of() : routeSetting.value()) {
            if (!bound.value().contains(outcome)) {
                problems.add(
                        routeSetting.line(),
                        "'retry_on' has '" + outcome + "', which pool '" + pool.name() + "' does not allow (line "
                                + bound.line() + ")");
            }
        }
    }

    private void checkAttempts(
            RouteSection route, RequestClass requestClass, ClassSection classSection, RouteLimits limits) {
        int cap = Math.max(1, facts.settings().limits().maxAttempts());
        PoolSection pool = file.pools().get(route.pool().value());
        for (LimitSet set : limitSets(route, classSection, pool)) {
            Setting<Long> attempts = set.number(LimitKey.ATTEMPTS);
            if (attempts != null && attempts.value() > cap) {
                problems.add(attempts.line(), "'attempts' is " + attempts.value() + "; the settings allow " + cap);
            }
        }
        // A pool's outcomes only restrict those of its routes, so they may include some that no class allows.
        Setting<Set<Retryable>> retryOn = route.limits().outcomes() != null || classSection == null
                ? route.limits().outcomes()
                : classSection.limits().outcomes();
        for (Retryable outcome : retryOn == null ? Set.<Retryable>of() : retryOn.value()) {
            if (requestClass.effect() == Effect.UNSAFE && outcome.mayHaveRun()) {
                problems.add(
                        retryOn.line(),
                        "'retry_on' has '" + outcome + "' for class '" + requestClass.name()
                                + "', which must never run twice: an attempt that ended so may have run");
            }
        }
        if (requestClass.effect() == Effect.KEYED
                && retryOn != null
                && retryOn.value().contains(Retryable.TIMEOUT)
                && limits.attemptTimeout().isSetInFile()
                && limits.attemptTimeout().value() >= requestClass.dedupWindowMicros()) {
            problems.add(
                    limits.attemptTimeout().line(),
                    "'attempt_timeout' is "
                            + DurationText.format(limits.attemptTimeout().value())
                            + " and servers drop repeats of class '"
                            + requestClass.name() + "' for " + DurationText.format(requestClass.dedupWindowMicros())
                            + " only: a retry after 'timeout' would come too late");
        }
    }

    /** Queued requests count as in progress, so a queue limit above that of requests in progress has no effect. */
    private void checkQueue(String kind, String name, LimitSet limits) {
        Setting<Long> queue = limits.number(LimitKey.MAX_QUEUE);
        Setting<Long> maxRequests = limits.number(LimitKey.MAX_REQUESTS);
        if (queue != null && maxRequests != null && queue.value() > maxRequests.value()) {
            problems.add(
                    queue.line(),
                    "'max_queue' of " + kind + " '" + name + "' is " + queue.value() + ", and 'max_requests' allows "
                            + maxRequests.value() + " in hand (line " + maxRequests.line() + ")");
        }
    }

    private static List<LimitSet> limitSets(RouteSection route, ClassSection classSection, PoolSection pool) {
        List<LimitSet> sets = new ArrayList<>(List.of(route.limits()));
        if (classSection != null) {
            sets.add(classSection.limits());
        }
        if (pool != null) {
            sets.add(pool.limits());
        }
        return sets;
    }

    private void checkTimes(
            RouteSection route, RequestClass requestClass, ClassSection classSection, RouteLimits limits) {
        Setting<Long> clientTimeout = classSection == null ? null : classSection.clientGivesUp();
        if (clientTimeout != null && clientTimeout.value() > requestClass.deadlineMicros()) {
            problems.add(
                    clientTimeout.line(),
                    "'client_gives_up' is " + DurationText.format(clientTimeout.value())
                            + ", beyond the deadline of class '" + requestClass.name() + "' ("
                            + DurationText.format(requestClass.deadlineMicros()) + ")");
        }
        for (Setting<Long> time : List.of(limits.timeout(), limits.attemptTimeout())) {
            String key = time == limits.timeout() ? "timeout" : "attempt_timeout";
            if (!time.isSetInFile()) {
                continue;
            }
            if (time.value() > requestClass.deadlineMicros()) {
                problems.add(
                        time.line(),
                        "'" + key + "' is " + DurationText.format(time.value())
                                + ", beyond the deadline of class '" + requestClass.name() + "' ("
                                + DurationText.format(requestClass.deadlineMicros()) + ")");
            } else if (clientTimeout != null && time.value() > clientTimeout.value()) {
                problems.add(
                        time.line(),
                        "'" + key + "' is " + DurationText.format(time.value())
                                + ", and clients of class '" + requestClass.name() + "' give up after "
                                + DurationText.format(clientTimeout.value()) + " (line " + clientTimeout.line() + ")");
            }
        }
        checkTimeForAttempts(requestClass, limits);
    }

    /** Checks that the time-out covers all sequential attempts; hedged requests run in parallel with them. */
    private void checkTimeForAttempts(RequestClass requestClass, RouteLimits limits) {
        Setting<Long> attemptTimeout = limits.attemptTimeout();
        long timeout = limits.timeout().value();
        if (attemptTimeout.value() == 0 || Math.max(attemptTimeout.value(), timeout) > requestClass.deadlineMicros()) {
            return;
        }
        if (attemptTimeout.value() > timeout) {
            problems.add(
                    limits.timeout().isSetInFile() ? limits.timeout().line() : attemptTimeout.line(),
                    "'timeout' is "
                            + DurationText.format(timeout) + ", shorter than one attempt's 'attempt_timeout' of "
                            + DurationText.format(attemptTimeout.value()));
            return;
        }
        long sequentialAttempts =
                -Math.floorDiv(-limits.attempts().value(), 1 + limits.hedges().value());
        if (limits.attempts().isSetInFile() && sequentialAttempts * attemptTimeout.value() > timeout) {
            int line = limits.timeout().isSetInFile()
                    ? limits.timeout().line()
                    : limits.attempts().line();
            problems.add(
                    line,
                    "'timeout' is " + DurationText.format(timeout) + ", and "
                            + limits.attempts().value()
                            + " attempts of " + DurationText.format(attemptTimeout.value()) + " can use "
                            + DurationText.format(sequentialAttempts * attemptTimeout.value())
                            + ": the last would be cut short");
        }
    }

    private void checkHedges(RouteSection route, RequestClass requestClass, PoolSection pool, RouteLimits limits) {
        Setting<Long> hedges = limits.hedges();
        Setting<Long> after = limits.hedgeAfter();
        if (hedges.value() == 0) {
            if (after.isSetInFile() && !hedges.isSetInFile()) {
                problems.add(after.line(), "'hedge_after' without 'hedges' has no effect");
            }
            return;
        }
        int line = hedges.line();
        if (requestClass.effect() == Effect.UNSAFE) {
            problems.add(line, "'hedges' for class '" + requestClass.name() + "', which must never run twice");
            return;
        }
        if (!facts.settings().limits().hedging()) {
            problems.add(line, "'hedges' is set and the settings allow no second copies");
        }
        if (!after.isSetInFile()) {
            problems.add(line, "'hedges' without 'hedge_after': how long is a copy to wait?");
            return;
        }
        if (limits.attempts().value() < 1 + hedges.value()) {
            problems.add(
                    line,
                    "'hedges' is " + hedges.value() + ", and 'attempts' leaves room for "
                            + (limits.attempts().value() - 1));
        }
        boolean bounded = limits.attemptTimeout().value() > 0
                && limits.attemptTimeout().value() < limits.timeout().value();
        long attemptEnd =
                bounded ? limits.attemptTimeout().value() : limits.timeout().value();
        if (after.value() >= attemptEnd) {
            problems.add(
                    after.line(),
                    "'hedge_after' is " + DurationText.format(after.value()) + ", and an attempt ends after "
                            + DurationText.format(attemptEnd) + ": no copy would ever go out");
        }
        if (requestClass.effect() == Effect.KEYED) {
            checkKeyedHedges(route, requestClass, pool, limits);
        }
    }

    private void checkKeyedHedges(RouteSection route, RequestClass requestClass, PoolSection pool, RouteLimits limits) {
        Setting<Long> hedges = limits.hedges();
        Setting<Long> after = limits.hedgeAfter();
        if (hedges.value() * after.value() >= requestClass.dedupWindowMicros()) {
            problems.add(
                    after.line(),
                    "the last copy of class '" + requestClass.name() + "' would go out after "
                            + DurationText.format(hedges.value() * after.value()) + ", and servers drop repeats for "
                            + DurationText.format(requestClass.dedupWindowMicros()) + " only");
        }
        if (pool == null || pool.servers() == null || requestClass.group() == Group.ALL) {
            return;
        }
        ToIntFunction<StaticServer> group = requestClass.group() == Group.ZONE
                ? s -> s.zone() == null ? -1 : facts.zones().indexOf(s.zone())
                : StaticServer::cell;
        Map<Integer, Integer> sizes = new LinkedHashMap<>();
        pool.servers().forEach(s -> sizes.merge(group.applyAsInt(s), 1, Integer::sum));
        boolean allSingle = sizes.values().stream().allMatch(n -> n == 1);
        if (allSingle || requestClass.group() == Group.ZONE && sizes.containsKey(-1)) {
            problems.add(
                    hedges.line(),
                    "'hedges' for class '" + requestClass.name() + "' of route '" + route.name()
                            + "': servers drop repeats within one "
                            + (requestClass.group() == Group.ZONE ? "zone" : "cell")
                            + ", and pool '" + pool.name() + "' "
                            + (allSingle ? "has no two servers in one" : "has servers without one"));
        }
    }

    // ---- Limits shared by all instances

    private void checkFleet(FleetSection fleet) {
        int rank = facts.settings().rank();
        if (fleet.fromMembership() && file.membership() == null) {
            problems.add(
                    fleet.lines().get("instances"),
                    "'instances' is 'members', and there is no" + " [membership]: nobody would be counted");
        }
        if (fleet.fromMembership()
                && fleet.idlePerServer() != null
                && facts.settings().limits().idleMicros() > MAX_IDLE_MICROS) {
            problems.add(
                    fleet.lines().get("idle_per_server"),
                    "'instances' is 'members', and the settings"
                            + " give no time, up to an hour, after which servers close idle connections: those"
                            + " of a paused process would never become available to others");
        }
        if (!fleet.fromMembership() && rank >= fleet.instances()) {
            problems.add(
                    fleet.lines().get("instances"),
                    "'instances' is " + fleet.instances() + ", and the settings say that this is number " + rank
                            + ", counted from 0");
        }
        long maxInterval = facts.settings().rules().discoveryIntervalMicros();
        double interval = fleet.listRate() == 0
                ? 0
                : fleet.instances()
                        / fleet.listRate()
                        * 1e6
                        / (fleet.fromMembership() ? ShareClaim.CLAIMABLE_FRACTION : 1);
        if (maxInterval > 0 && interval > maxInterval) {
            problems.add(
                    fleet.lines().get("list_rate"),
                    "'list_rate' is " + fleet.listRate()
                            + ", so each of "
                            + fleet.instances() + " instances would ask every " + DurationText.format((long) interval)
                            + "; the settings want it asked every " + DurationText.format(maxInterval) + ": it must be "
                            + (long) Math.ceil(fleet.listRate() * interval / maxInterval) + " or more");
        }
        if (fleet.listRate() > 0 && file.pools().values().stream().allMatch(p -> p.servers() != null)) {
            problems.add(
                    fleet.lines().get("list_rate"), "'list_rate' has no effect: no pool has source" + " 'discovery'");
        }
        if (fleet.probeRate() > 0 && !facts.settings().limits().probing()) {
            problems.add(fleet.lines().get("probe_rate"), "'probe_rate' is set and the settings allow no" + " probes");
        }
    }

    // ---- Limits shared by all pools

    private void checkTotal(LimitKey key, long total, String resource) {
        long sum = 0;
        int unsetPools = 0;
        Setting<Long> last = null;
        for (PoolSection pool : file.pools().values()) {
            Setting<Long> set = pool.limits().number(key);
            sum += set == null ? 0 : set.value();
            unsetPools += set == null ? 1 : 0;
            last = set == null || last != null && last.line() > set.line() ? last : set;
        }
        if (last != null && sum + unsetPools > total) {
            problems.add(
                    last.line(),
                    "'" + key.key + "' of all pools is " + sum
                            + (unsetPools == 0
                                    ? ""
                                    : ", and " + unsetPools + (unsetPools == 1 ? " pool needs" : " pools need")
                                            + " at least 1")
                            + "; there are " + total + " " + resource);
        }
    }
}
