package larkbank.simhost;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import larkbank.LoadBalancer.Effect;
import larkbank.LoadBalancer.Group;
import larkbank.LoadBalancer.Limits;
import larkbank.LoadBalancer.ListKind;
import larkbank.LoadBalancer.LoadReport;
import larkbank.LoadBalancer.Outcome;
import larkbank.LoadBalancer.Phase;
import larkbank.LoadBalancer.ReportSource;
import larkbank.LoadBalancer.Request;
import larkbank.LoadBalancer.RequestClass;
import larkbank.LoadBalancer.Result;
import larkbank.LoadBalancer.Rules;
import larkbank.LoadBalancer.Server;
import larkbank.LoadBalancer.Settings;
import larkbank.LoadBalancer.Tenant;

/** The fields of one message, read in one pass and turned into the library's types. */
final class Fields {

    private final Map<String, Object> values = new LinkedHashMap<>();

    /** Reads the object that the parser stands at. */
    void read(JsonParser parser) throws IOException {
        values.clear();
        readInto(parser, values);
    }

    private static void readInto(JsonParser parser, Map<String, Object> into) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            into.put(name, value(parser));
        }
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> {
                Map<String, Object> object = new LinkedHashMap<>();
                readInto(parser, object);
                yield object;
            }
            case START_ARRAY -> {
                List<Object> array = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                yield array;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT -> parser.getNumberValue().longValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            default -> null;
        };
    }

    private WireException bad(String name, String want) {
        Object op = values.get("op");
        return new WireException((op instanceof String s ? s : "event") + ": '" + name + "' "
                + (values.get(name) == null ? "is missing" : "must be " + want));
    }

    String text(String name) throws WireException {
        if (values.get(name) instanceof String s) {
            return s;
        }
        throw bad(name, "a text");
    }

    long number(String name) throws WireException {
        if (values.get(name) instanceof Long n) {
            return n;
        }
        throw bad(name, "a whole number");
    }

    private long number(String name, long otherwise) throws WireException {
        return values.get(name) == null ? otherwise : number(name);
    }

    private boolean flag(String name) {
        return Boolean.TRUE.equals(values.get(name));
    }

    ListKind listKind() throws WireException {
        String how = text("how");
        return switch (how) {
            case "diff" -> ListKind.CHANGES;
            case "snapshot" -> ListKind.COMPLETE;
            case "disk" -> ListKind.CACHED;
            case "error" -> ListKind.FAILED;
            default -> throw new WireException("Endpoints: unknown list kind '" + how + "'");
        };
    }

    Result result() throws WireException {
        String verdict = text("verdict");
        return switch (verdict) {
            case "OK" -> Result.SERVED;
            case "INTERNAL" -> Result.ERROR;
            case "RESOURCE_EXHAUSTED" -> Result.FULL;
            case "DEADLINE_EXCEEDED" -> Result.TIMED_OUT;
            case "UNAVAILABLE" -> Result.NO_CONNECTION;
            case "ABORTED" -> Result.BROKEN;
            case "CANCELLED" -> Result.CANCELLED;
            case "TOO_LATE" -> Result.NOT_SENT;
            default -> throw new WireException("unknown verdict '" + verdict + "'");
        };
    }

    Request request() throws WireException {
        return new Request(text("ticket"), (int) number("type"), (int) number("client_group", 0),
                flag("repeat"), number("target_key", -1), number("drop_dead_us"), number("expected_us", 0),
                flag("mutates"));
    }

    Outcome outcome() throws WireException {
        return new Outcome(text("ticket"), (int) number("go"), number("server"), result(),
                number("cost_time_us"), flag("terminal"), report());
    }

    LoadReport report() {
        if (!(values.get("server_stats") instanceof Map<?, ?> m)) {
            return null;
        }
        return new LoadReport(real(m, "active", Double.NaN), real(m, "waiting", Double.NaN),
                real(m, "cpu", Double.NaN), real(m, "avg_ms", Double.NaN), real(m, "rps", Double.NaN),
                real(m, "err_rps", Double.NaN));
    }

    List<Server> rows() throws WireException {
        if (!(values.get("rows") instanceof List<?> rows)) {
            throw bad("rows", "an array");
        }
        List<Server> servers = new ArrayList<>(rows.size());
        for (Object row : rows) {
            if (!(row instanceof Map<?, ?> m) || !(m.get("server") instanceof Long id)) {
                throw new WireException("Pool: an entry without a 'server'");
            }
            Phase phase = switch (String.valueOf(m.get("status"))) {
                case "SERVING" -> Phase.READY;
                case "DRAINING" -> Phase.DRAINING;
                case "DELETED" -> Phase.REMOVED;
                default -> throw new WireException("Pool: unknown status '" + m.get("status") + "'");
            };
            servers.add(new Server(id, (int) whole(m, "failure_domain", 0), (int) whole(m, "sku", 0),
                    (int) whole(m, "group", 0), phase, whole(m, "start_time_us", 0), real(m, "share", 1)));
        }
        return servers;
    }

    private static long whole(Map<?, ?> m, String name, long otherwise) {
        return m.get(name) instanceof Number n ? n.longValue() : otherwise;
    }

    private static double real(Map<?, ?> m, String name, double otherwise) {
        return m.get(name) instanceof Number n ? n.doubleValue() : otherwise;
    }

    private static boolean flag(Map<?, ?> m, String name) {
        return Boolean.TRUE.equals(m.get(name));
    }

    private static Map<?, ?> object(Map<?, ?> m, String name) {
        return m.get(name) instanceof Map<?, ?> o ? o : Map.of();
    }

    private static List<?> array(Map<?, ?> m, String name) {
        return m.get(name) instanceof List<?> a ? a : List.of();
    }

    Settings settings() throws WireException {
        if (!(values.get("facts") instanceof Map<?, ?> f)) {
            throw bad("facts", "an object");
        }
        List<RequestClass> classes = new ArrayList<>();
        for (Object o : array(f, "classes")) {
            classes.add(requestClass((Map<?, ?>) o));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object o : array(f, "tenants")) {
            Map<?, ?> t = (Map<?, ?>) o;
            tenants.add(new Tenant(String.valueOf(t.get("name")), real(t, "share", 0)));
        }
        List<String> zones = new ArrayList<>();
        for (Object o : array(f, "zones")) {
            zones.add(String.valueOf(o));
        }
        Map<?, ?> limits = object(f, "policy_limits");
        Map<?, ?> rules = object(f, "rules");
        ReportSource reports = switch (String.valueOf(object(f, "report").get("source"))) {
            case "answers" -> ReportSource.ANSWERS;
            case "probe" -> ReportSource.PROBES;
            default -> ReportSource.NONE;
        };
        return new Settings(number("salt"), (int) whole(f, "rank", 0), (int) whole(f, "replicas_of_me", 1),
                (int) whole(f, "zone", 0), zones, classes, tenants, real(f, "over_share_worth", 1),
                real(object(f, "charges"), "probe", 0),
                new Limits((int) whole(limits, "attempts_cap", 1), flag(limits, "cancelling"),
                        flag(limits, "probing"), flag(limits, "retry_after"),
                        whole(limits, "max_retry_after_us", 0),
                        whole(limits, "conn_idle_us", Long.MAX_VALUE)),
                new Rules(real(rules, "cold_from", 1), whole(rules, "cold_us", 0), whole(rules, "fall_us", 0),
                        whole(rules, "ask_every_us", 0), real(rules, "extra_floor", 0),
                        real(rules, "extra_per_request", 0), whole(rules, "look_back_us", 0)),
                reports, "ask".equals(f.get("discovery")), flag(object(f, "domain"), "warm_keys"),
                whole(f, "tick_us", 1000));
    }

    private static RequestClass requestClass(Map<?, ?> c) throws WireException {
        Effect effect = switch (String.valueOf(c.get("effect"))) {
            case "pure" -> Effect.SAFE;
            case "token" -> Effect.KEYED;
            case "side_effect" -> Effect.UNSAFE;
            default -> throw new WireException("Start: unknown effect '" + c.get("effect") + "'");
        };
        Group group = switch (String.valueOf(c.get("group"))) {
            case "zone" -> Group.ZONE;
            case "cell" -> Group.CELL;
            default -> Group.ALL;
        };
        return new RequestClass(String.valueOf(c.get("name")), effect, group, whole(c, "dedup_window_us", 0),
                whole(c, "aim_us", 0), real(c, "aim_stretch", 0), whole(c, "deadline_us", 0),
                real(c, "worth", 1), real(c, "late_value", 0), flag(c, "streaming"));
    }
}
