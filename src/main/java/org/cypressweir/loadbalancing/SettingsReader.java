package org.cypressweir.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;

/** Reads the settings in the form that the simulator and the sidecar's configuration share. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings from a parsed JSON object.
     *
     * @throws IllegalArgumentException with a message that names the invalid setting
     */
    public static Settings read(long seed, Map<?, ?> fields) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object o : Json.array(fields, "classes")) {
            classes.add(requestClass(entry(o, "classes")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object o : Json.array(fields, "tenants")) {
            Map<?, ?> tenant = entry(o, "tenants");
            tenants.add(new Tenant(String.valueOf(tenant.get("name")), Json.doubleValue(tenant, "share", 0)));
        }
        Map<?, ?> limits = Json.object(fields, "policy_limits");
        Map<?, ?> rules = Json.object(fields, "rules");
        ReportSource reports =
                switch (String.valueOf(Json.object(fields, "report").get("source"))) {
                    case "answers" -> ReportSource.ANSWERS;
                    case "probe" -> ReportSource.PROBES;
                    default -> ReportSource.NONE;
                };
        return new Settings(
                seed,
                (int) Json.longValue(fields, "rank", 0),
                (int) Json.longValue(fields, "replicas_of_me", 1),
                (int) Json.longValue(fields, "zone", 0),
                names(fields, "zones"),
                classes,
                tenants,
                Json.doubleValue(fields, "over_share_worth", 1),
                Json.doubleValue(Json.object(fields, "charges"), "probe", 0),
                new Limits(
                        (int) Json.longValue(limits, "attempts_cap", 1),
                        Json.flag(limits, "cancelling"),
                        Json.flag(limits, "probing"),
                        Json.flag(limits, "retry_after"),
                        Json.longValue(limits, "max_retry_after_us", 0),
                        Json.longValue(limits, "conn_idle_us", Long.MAX_VALUE),
                        (int) Json.longValue(limits, "open_cap", Integer.MAX_VALUE),
                        Integer.MAX_VALUE,
                        Json.flag(limits, "second_copies"),
                        Integer.MAX_VALUE),
                new Rules(
                        Json.doubleValue(rules, "cold_from", 1),
                        Json.longValue(rules, "cold_us", 0),
                        Json.longValue(rules, "fall_us", 0),
                        Json.longValue(rules, "ask_every_us", 0),
                        Json.doubleValue(rules, "extra_floor", 0),
                        Json.doubleValue(rules, "extra_per_request", 0),
                        Json.longValue(rules, "look_back_us", 0)),
                reports,
                "ask".equals(fields.get("discovery")),
                Json.flag(Json.object(fields, "domain"), "warm_keys"),
                Json.longValue(fields, "tick_us", 1000));
    }

    /** Reads a list of names; a name's number is its index. */
    public static List<String> names(Map<?, ?> fields, String name) {
        List<String> names = new ArrayList<>();
        for (Object o : Json.array(fields, name)) {
            names.add(String.valueOf(o));
        }
        return names;
    }

    private static Map<?, ?> entry(Object o, String list) {
        if (o instanceof Map<?, ?> m) {
            return m;
        }
        throw new IllegalArgumentException("settings: '" + list + "' must hold objects");
    }

    private static RequestClass requestClass(Map<?, ?> fields) {
        Effect effect =
                switch (String.valueOf(fields.get("effect"))) {
                    case "pure" -> Effect.SAFE;
                    case "token" -> Effect.KEYED;
                    case "side_effect" -> Effect.UNSAFE;
                    default -> throw new IllegalArgumentException(
                            "settings: unknown effect '" + fields.get("effect") + "'");
                };
        Group group =
                switch (String.valueOf(fields.get("group"))) {
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> Group.ALL;
                };
        return new RequestClass(
                String.valueOf(fields.get("name")),
                effect,
                group,
                Json.longValue(fields, "dedup_window_us", 0),
                Json.longValue(fields, "aim_us", 0),
                Json.doubleValue(fields, "aim_stretch", 0),
                Json.longValue(fields, "deadline_us", 0),
                Json.doubleValue(fields, "worth", 1),
                Json.doubleValue(fields, "late_value", 0),
                Json.flag(fields, "streaming"));
    }
}
