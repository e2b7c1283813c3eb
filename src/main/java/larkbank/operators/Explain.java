package larkbank.operators;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.stream.Collectors;
import larkbank.Addresses;
import larkbank.LoadBalancer.RequestClass;
import larkbank.operators.OperatorsFile.RouteSection;
import larkbank.route.BadTarget;
import larkbank.route.HostName;
import larkbank.route.Listener;
import larkbank.route.PoolPlan;
import larkbank.route.RequestTarget;
import larkbank.route.Routable;
import larkbank.route.Route;
import larkbank.route.Target;
import larkbank.route.WebSocketLimits;

/** Says what is in force and where each value came from, one value a line. */
public final class Explain {

    private final Operators operators;
    private final StringBuilder out = new StringBuilder();

    private Explain(Operators operators) {
        this.operators = operators;
    }

    /** All of it. */
    public static String all(Operators operators) {
        Explain explain = new Explain(operators);
        for (Listener listener : operators.plan().listeners()) {
            explain.line("listener %s: %s", listener.name(), Addresses.text(listener.address()));
        }
        operators.plan().pools().forEach(explain::pool);
        operators.file().routes().forEach(explain::route);
        return explain.out.toString();
    }

    /**
     * One request: its normal form, the route that it takes and why, and the limits that hold for it.
     *
     * @param method in capitals
     * @param target in origin or in absolute form
     * @param headers by name; fields of one name already joined
     * @throws BadTarget where the request would be answered 400
     */
    public static String request(Operators operators, String method, String target,
            Map<String, String> headers) throws BadTarget {
        Explain explain = new Explain(operators);
        Map<String, String> lower = new LinkedHashMap<>();
        headers.forEach((name, value) -> lower.put(name.toLowerCase(Locale.ROOT), value));
        RequestTarget normal = RequestTarget.parse(target);
        String host = normal.host() != null ? normal.host() : HostName.normal(lower.getOrDefault("host", ""));
        explain.line("request %s, host '%s', path '%s'", method, host, normal.path());
        Route<Target> found = operators.plan().router().find(new Asked(method, host, normal.path(), lower));
        if (found == null) {
            explain.line("no route matches: 404");
            return explain.out.toString();
        }
        explain.line("takes route '%s': of those that match, the first by host, path, priority, method and"
                + " number of headers", found.name());
        operators.file().routes().stream().filter(r -> r.name().equals(found.name())).forEach(explain::route);
        return explain.out.toString();
    }

    private record Asked(String method, String host, String path, Map<String, String> headers)
            implements Routable {
        @Override
        public String header(String name) {
            return headers.get(name);
        }
    }

    private static String time(long micros) {
        return micros == 0 ? "none" : Duration.text(micros);
    }

    private void line(String form, Object... values) {
        out.append(String.format(Locale.ROOT, form, values)).append('\n');
    }

    private void value(String name, Object value, String origin) {
        line("  %-16s %-28s # %s", name, value, origin);
    }

    private void pool(PoolPlan pool) {
        OperatorsFile.PoolSection section = operators.file().pools().get(pool.name());
        line("pool %s: %s", pool.name(), pool.discovered() ? "servers from discovery"
                : pool.servers().size() + " servers of the file");
        pool(section, LimitKey.MAX_CONNECTIONS, pool.connections());
        pool(section, LimitKey.MAX_REQUESTS, pool.requests());
        pool(section, LimitKey.MAX_QUEUE, pool.queue() == Integer.MAX_VALUE ? "unbounded" : pool.queue());
        section.limits().all().forEach((key, setting) -> {
            if (LimitKey.OF_ROUTES.contains(key) && key != LimitKey.MAX_REQUESTS
                    && key != LimitKey.MAX_QUEUE) {
                value(key.key + " <=", key.text(setting.value()), setting.origin());
            }
        });
    }

    private void pool(OperatorsFile.PoolSection section, LimitKey key, Object value) {
        Setting<Long> set = section.limits().number(key);
        value(key.key, value, set == null ? "default: " + key.otherwise : set.origin());
    }

    private static String count(int most) {
        return most == Integer.MAX_VALUE ? "any number" : String.valueOf(most);
    }

    private void route(RouteSection route) {
        RouteLimits limits = operators.limits(route.name());
        RequestClass c = operators.facts().requestClass(route.requestClass().value()).orElseThrow();
        line("route %s: %s", route.name(), route.match());
        value("class", c.name() + " (" + c.effect().name().toLowerCase(Locale.ROOT) + ")",
                route.requestClass().origin());
        value("pool", route.pool().value(), route.pool().origin());
        value("timeout", Duration.text(limits.timeout().value()), limits.timeout().origin());
        value("attempt_timeout", limits.attemptTimeout().value() == 0 ? "none"
                : Duration.text(limits.attemptTimeout().value()), limits.attemptTimeout().origin());
        value("attempts", limits.attempts().value(), limits.attempts().origin());
        value("retry_on", limits.retryOn().value().stream().map(String::valueOf)
                .collect(Collectors.joining(" ")), limits.retryOn().origin());
        value("hedges", limits.hedges().value(), limits.hedges().origin());
        if (limits.hedges().value() > 0) {
            value("hedge_after", Duration.text(limits.hedgeAfter().value()), limits.hedgeAfter().origin());
        }
        if (route.webSocket() != null) {
            WebSocketLimits w = route.webSocket();
            line("  websocket        frames to %d, messages to %d bytes; idle %s, ping %s, answer %s,"
                    + " life %s, drain %s, %d back a second",
                    w.maxFrame(), w.maxMessage(), time(w.idleMicros()), time(w.pingMicros()),
                    time(w.pongMicros()), time(w.lifeMicros()), time(w.drainMicros()), w.reconnects());
            line("  goes with        %d %s", w.farewell().code(), w.farewell().reason());
            line("  tunnels          %s in all, %s of a tenant; evicted after %s; resumed: %s",
                    count(w.bounds().most()), count(w.bounds().perTenant()), time(w.bounds().evictMicros()),
                    w.resume() == null ? "never" : String.join(" ", new TreeSet<>(w.resume().subprotocols()))
                    + (w.resume().header() == null ? "" : ", with " + w.resume().header())
                    + (w.resume().firstMessage() ? ", first message repeated" : ""));
        }
        for (RouteLimits.Counted counted : limits.counted()) {
            if (counted.requests() != null) {
                value("max_requests", counted.requests().value(), counted.requests().origin());
            }
            if (counted.queue() != null) {
                value("max_queue", counted.queue().value(), counted.queue().origin());
            }
        }
    }
}
