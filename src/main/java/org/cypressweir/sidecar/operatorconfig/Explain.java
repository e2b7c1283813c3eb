package org.cypressweir.sidecar.operatorconfig;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.sidecar.cell.CellAssignment;
import org.cypressweir.sidecar.cell.CellsConfiguration;
import org.cypressweir.sidecar.cell.Placement;
import org.cypressweir.sidecar.fleetlimits.FleetLimits;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.RouteSection;
import org.cypressweir.sidecar.route.HostName;
import org.cypressweir.sidecar.route.InvalidTargetException;
import org.cypressweir.sidecar.route.Listener;
import org.cypressweir.sidecar.route.PoolConfiguration;
import org.cypressweir.sidecar.route.RequestTarget;
import org.cypressweir.sidecar.route.Routable;
import org.cypressweir.sidecar.route.Route;
import org.cypressweir.sidecar.route.StaticServer;
import org.cypressweir.sidecar.route.Target;
import org.cypressweir.sidecar.route.WebSocketLimits;

/** Prints the values in force and the origin of each, one value per line. */
public final class Explain {

    private final Operators operators;
    private final StringBuilder out = new StringBuilder();

    private Explain(Operators operators) {
        this.operators = operators;
    }

    /** Explains the whole file. */
    public static String all(Operators operators) {
        Explain explain = new Explain(operators);
        for (Listener listener : operators.configuration().listeners()) {
            explain.line("listener %s: %s", listener.name(), Addresses.text(listener.address()));
        }
        operators
                .configuration()
                .plugins()
                .forEach(p -> explain.line(
                        "plug-in %s: %d bytes, %s a call, %d KiB, fails" + " %s; headers %s, classes %s, weakens %s%s",
                        p.name(),
                        p.module().length,
                        durationText(p.deadlineMicros()),
                        p.memoryPages() * 64,
                        p.failClosed() ? "closed" : "open",
                        new TreeSet<>(p.grant().headers()),
                        new TreeSet<>(p.grant().classes()),
                        new TreeSet<>(p.grant().weaken()),
                        p.grant().refuse() ? ", may refuse" : ""));
        explain.explainFleet(operators.configuration().fleet());
        operators.configuration().pools().forEach(explain::explainPool);
        operators.file().routes().forEach(explain::explainRoute);
        return explain.out.toString();
    }

    /**
     * Explains one request: its normalized form, the route that it takes and why, and the limits in force.
     *
     * @param method in upper case
     * @param target in origin form or absolute form
     * @param headers by name; fields with the same name already joined
     * @throws InvalidTargetException if the sidecar would respond to the request with 400
     */
    public static String request(Operators operators, String method, String target, Map<String, String> headers)
            throws InvalidTargetException {
        Explain explain = new Explain(operators);
        Map<String, String> lowerCaseHeaders = new LinkedHashMap<>();
        headers.forEach((name, value) -> lowerCaseHeaders.put(name.toLowerCase(Locale.ROOT), value));
        RequestTarget parsedTarget = RequestTarget.parse(target);
        String host = parsedTarget.host() != null
                ? parsedTarget.host()
                : HostName.normalize(lowerCaseHeaders.getOrDefault("host", ""));
        explain.line("request %s, host '%s', path '%s'", method, host, parsedTarget.path());
        Route<Target> matched = operators
                .configuration()
                .router()
                .find(new ExplainedRequest(method, host, parsedTarget.path(), lowerCaseHeaders));
        if (matched == null) {
            explain.line("no route matches: 404");
            return explain.out.toString();
        }
        explain.line(
                "takes route '%s': of those that match, the first by host, path, priority, method and"
                        + " number of headers",
                matched.name());
        operators.file().routes().stream()
                .filter(r -> r.name().equals(matched.name()))
                .forEach(explain::explainRoute);
        explain.explainHomeCell(matched.target(), parsedTarget.path(), lowerCaseHeaders);
        return explain.out.toString();
    }

    private record ExplainedRequest(String method, String host, String path, Map<String, String> headers)
            implements Routable {
        @Override
        public String header(String name) {
            return headers.get(name);
        }
    }

    private static String durationText(long micros) {
        return micros == 0 ? "none" : DurationText.format(micros);
    }

    private void line(String format, Object... values) {
        out.append(String.format(Locale.ROOT, format, values)).append('\n');
    }

    private void valueLine(String name, Object value, String origin) {
        line("  %-16s %-28s # %s", name, value, origin);
    }

    private void explainPool(PoolConfiguration pool) {
        OperatorsFile.PoolSection section = operators.file().pools().get(pool.name());
        line(
                "pool %s: %s",
                pool.name(),
                pool.discovered() ? "servers from discovery" : pool.servers().size() + " servers of the file");
        poolValue(section, LimitKey.MAX_CONNECTIONS, pool.maxConnections());
        poolValue(section, LimitKey.MAX_REQUESTS, pool.maxRequests());
        poolValue(section, LimitKey.MAX_QUEUE, pool.maxQueued() == Integer.MAX_VALUE ? "unbounded" : pool.maxQueued());
        section.limits().asMap().forEach((key, setting) -> {
            if (LimitKey.ROUTE_KEYS.contains(key) && key != LimitKey.MAX_REQUESTS && key != LimitKey.MAX_QUEUE) {
                valueLine(key.key + " <=", key.text(setting.value()), setting.origin());
            }
        });
        explainCells(pool);
    }

    private void explainFleet(FleetLimits fleet) {
        if (fleet == null) {
            return;
        }
        if (fleet.followsLiveInstances()) {
            line("fleet: as many instances as are alive, at most %d; figures are for that maximum", fleet.instances());
        } else {
            line("fleet: number %d of %d instances", fleet.rank(), fleet.instances());
        }
        line(
                "  list             %s",
                fleet.pollIntervalMicros() == 0
                        ? "watched"
                        : "asked once in " + DurationText.format(fleet.pollIntervalMicros()) + ", " + fleet.listRate()
                                + " a second by all");
        line(
                "  idle             %s",
                fleet.idlePerServer() == Integer.MAX_VALUE
                        ? "no bound"
                        : String.format(
                                Locale.ROOT,
                                "%d connections to a server by all; %d here at 100 servers",
                                fleet.idlePerServer(),
                                fleet.maxIdleConnections(100)));
        line(
                "  probes           %s",
                fleet.probeRate() == 0
                        ? "no bound"
                        : String.format(
                                Locale.ROOT,
                                "%s a second at a server by all; %.3f here at 100 servers",
                                fleet.probeRate(),
                                fleet.probesPerSecond(100)));
    }

    private void explainCells(PoolConfiguration pool) {
        CellsConfiguration cells = pool.cells();
        if (cells == null) {
            return;
        }
        line(
                "  cells by %s, %ss assigned, places kept for %s, guests%s up to %s%%",
                cells.header() == null ? cells.unit().name().toLowerCase(Locale.ROOT) : cells.header(),
                cells.spread().name().toLowerCase(Locale.ROOT),
                durationText(cells.reservationMicros()),
                cells.spilloverWrites() ? " and their writes" : "",
                100 * cells.maxSpilloverFraction());
        CellAssignment assignment = new CellAssignment(cells.cells(), cells.spread(), cells.reservationMicros());
        List<StaticServer> servers = pool.discovered() ? List.of() : pool.servers();
        assignment.listed(
                0,
                ListKind.COMPLETE,
                servers.stream()
                        .map(s -> s.toServer(
                                operators.facts().zones(), operators.facts().models()))
                        .toList());
        for (int c = 0; c < cells.cells().size(); c++) {
            int cell = c;
            String serverIds = servers.stream()
                    .filter(s -> assignment.cellOf(Ids.of(s.id())) == cell)
                    .map(StaticServer::id)
                    .collect(Collectors.joining(" "));
            PoolConfiguration cellPool = pool.forCell(c);
            line(
                    "  cell %-11s share %s%s, connections %d, requests %d%s",
                    cells.cells().get(c).name(),
                    cells.cells().get(c).share(),
                    cells.cells().get(c).reserved() ? ", reserved" : "",
                    cellPool.maxConnections(),
                    cellPool.maxRequests(),
                    serverIds.isEmpty() ? "" : ": " + serverIds);
        }
        cells.moves()
                .forEach(m -> line(
                        "  move %-11s %s to %s at %s, over %s, fence %s, freeze %s",
                        m.name(),
                        m.label(),
                        cells.cells().get(m.to()).name(),
                        Instant.EPOCH.plus(m.startMicros(), ChronoUnit.MICROS),
                        durationText(m.rampMicros()),
                        durationText(m.fenceMicros()),
                        durationText(m.freezeMicros())));
        if (cells.quarantine() != null) {
            line(
                    "  quarantine       cell %s, from %.0f%% of an unhealthy cell, for %s",
                    cells.cells().get(cells.quarantine().cell()).name(),
                    100 * cells.quarantine().share(),
                    durationText(cells.quarantine().durationMicros()));
        }
    }

    /** Prints the home cell of a request's unit, assuming servers in all cells, and the moves of that unit. */
    private void explainHomeCell(Target target, String path, Map<String, String> headers) {
        CellsConfiguration cells = operators.configuration().pools().stream()
                .filter(p -> p.name().equals(target.pool()))
                .findFirst()
                .orElseThrow()
                .cells();
        if (cells == null) {
            return;
        }
        String unit =
                switch (cells.unit()) {
                    case KEY -> path.substring(path.lastIndexOf('/') + 1);
                    case TENANT -> headers.getOrDefault("tenant", "");
                    case HEADER -> headers.getOrDefault(cells.header(), "");
                };
        BitSet allCells = new BitSet();
        allCells.set(0, cells.cells().size());
        int home = new Placement(cells.cells(), cells.assigned(), allCells).home(Ids.of(unit));
        line(
                "unit '%s' is at home in cell '%s' %s",
                unit,
                cells.cells().get(home).name(),
                cells.assigned().containsKey(Ids.of(unit)) ? "by 'assign'" : "by its hash");
        cells.moves().stream()
                .filter(m -> m.unit() == Ids.of(unit))
                .forEach(m -> line(
                        "and moved to cell '%s' by '%s'",
                        cells.cells().get(m.to()).name(), m.name()));
    }

    private void poolValue(OperatorsFile.PoolSection section, LimitKey key, Object value) {
        Setting<Long> set = section.limits().number(key);
        valueLine(key.key, value, set == null ? "default: " + key.defaultText : set.origin());
    }

    private static String countText(int max) {
        return max == Integer.MAX_VALUE ? "any number" : String.valueOf(max);
    }

    private void explainRoute(RouteSection route) {
        RouteLimits limits = operators.limits(route.name());
        RequestClass c =
                operators.facts().requestClass(route.requestClass().value()).orElseThrow();
        line("route %s: %s", route.name(), route.match());
        valueLine(
                "class",
                c.name() + " (" + c.effect().name().toLowerCase(Locale.ROOT) + ")",
                route.requestClass().origin());
        valueLine("pool", route.pool().value(), route.pool().origin());
        valueLine(
                "timeout",
                DurationText.format(limits.timeout().value()),
                limits.timeout().origin());
        valueLine(
                "attempt_timeout",
                limits.attemptTimeout().value() == 0
                        ? "none"
                        : DurationText.format(limits.attemptTimeout().value()),
                limits.attemptTimeout().origin());
        valueLine("attempts", limits.attempts().value(), limits.attempts().origin());
        valueLine(
                "retry_on",
                limits.retryOn().value().stream().map(String::valueOf).collect(Collectors.joining(" ")),
                limits.retryOn().origin());
        valueLine("hedges", limits.hedges().value(), limits.hedges().origin());
        if (limits.hedges().value() > 0) {
            valueLine(
                    "hedge_after",
                    DurationText.format(limits.hedgeAfter().value()),
                    limits.hedgeAfter().origin());
        }
        if (route.webSocket() != null) {
            WebSocketLimits w = route.webSocket();
            line(
                    "  websocket        frames to %d, messages to %d bytes; idle %s, ping %s, answer %s,"
                            + " life %s, drain %s, %d reconnects a second",
                    w.maxFrame(),
                    w.maxMessage(),
                    durationText(w.idleTimeoutMicros()),
                    durationText(w.pingIntervalMicros()),
                    durationText(w.pongTimeoutMicros()),
                    durationText(w.maxLifeMicros()),
                    durationText(w.drainTimeoutMicros()),
                    w.reconnectsPerSecond());
            line(
                    "  closes with      %d %s",
                    w.closeNotice().code(), w.closeNotice().reason());
            line(
                    "  tunnels          %s in all, %s of a tenant; evicted after %s; resumed: %s",
                    countText(w.bounds().maxOpen()),
                    countText(w.bounds().maxOpenPerTenant()),
                    durationText(w.bounds().evictMicros()),
                    w.resume() == null
                            ? "never"
                            : String.join(" ", new TreeSet<>(w.resume().subprotocols()))
                                    + (w.resume().header() == null
                                            ? ""
                                            : ", with " + w.resume().header())
                                    + (w.resume().firstMessage() ? ", first message repeated" : ""));
        }
        for (RouteLimits.RequestBound counted : limits.requestBounds()) {
            if (counted.requests() != null) {
                valueLine(
                        "max_requests",
                        counted.requests().value(),
                        counted.requests().origin());
            }
            if (counted.queue() != null) {
                valueLine("max_queue", counted.queue().value(), counted.queue().origin());
            }
        }
    }
}
