package org.cypressweir.sidecar.simhost;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Outcome;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadReports;
import org.cypressweir.loadbalancing.SettingsReader;

/** The fields of one message, parsed in one pass and converted to the load balancer's types. */
final class MessageFields {

    private final Map<String, Object> values = new LinkedHashMap<>();

    /** Reads the JSON object at the parser's position. */
    void read(JsonParser parser) throws IOException {
        values.clear();
        Json.readInto(parser, values);
    }

    private WireException invalid(String name, String expected) {
        Object op = values.get("op");
        return new WireException((op instanceof String s ? s : "event") + ": '" + name + "' "
                + (values.get(name) == null ? "is missing" : "must be " + expected));
    }

    String text(String name) throws WireException {
        if (values.get(name) instanceof String s) {
            return s;
        }
        throw invalid(name, "a string");
    }

    long number(String name) throws WireException {
        if (values.get(name) instanceof Long n) {
            return n;
        }
        throw invalid(name, "a whole number");
    }

    private long number(String name, long defaultValue) throws WireException {
        return values.get(name) == null ? defaultValue : number(name);
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
        return new Request(
                text("ticket"),
                (int) number("type"),
                (int) number("client_group", 0),
                flag("repeat"),
                number("target_key", -1),
                number("drop_dead_us"),
                number("expected_us", 0),
                flag("mutates"));
    }

    Outcome outcome() throws WireException {
        return new Outcome(
                text("ticket"),
                (int) number("go"),
                number("server"),
                result(),
                number("cost_time_us"),
                flag("terminal"),
                report());
    }

    LoadReport report() {
        if (!(values.get("server_stats") instanceof Map<?, ?> m)) {
            return null;
        }
        return LoadReports.of(m);
    }

    List<Server> servers() throws WireException {
        if (!(values.get("rows") instanceof List<?> rows)) {
            throw invalid("rows", "an array");
        }
        List<Server> servers = new ArrayList<>(rows.size());
        for (Object row : rows) {
            if (!(row instanceof Map<?, ?> m) || !(m.get("server") instanceof Long id)) {
                throw new WireException("Pool: an entry without a 'server'");
            }
            Phase phase =
                    switch (String.valueOf(m.get("status"))) {
                        case "SERVING" -> Phase.READY;
                        case "DRAINING" -> Phase.DRAINING;
                        case "DELETED" -> Phase.REMOVED;
                        default -> throw new WireException("Pool: unknown status '" + m.get("status") + "'");
                    };
            servers.add(new Server(
                    id,
                    (int) Json.longValue(m, "failure_domain", 0),
                    (int) Json.longValue(m, "sku", 0),
                    (int) Json.longValue(m, "group", 0),
                    phase,
                    Json.longValue(m, "start_time_us", 0),
                    Json.doubleValue(m, "share", 1)));
        }
        return servers;
    }

    Settings settings() throws WireException {
        if (!(values.get("facts") instanceof Map<?, ?> f)) {
            throw invalid("facts", "an object");
        }
        return SettingsReader.read(number("salt"), f);
    }
}
