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

/** The settings as the simulator and the sidecar's configuration both spell them. */
public final class SettingsReader {

    private SettingsReader() {}

    /** Turns the settings object into the module's; an {@link IllegalArgumentException} says what is off. */
    public static Settings read(long seed, Map<?, ?> f) {
        List<RequestClass> classes = new ArrayList<>();
        for (Object o : Json.array(f, "classes")) {
            classes.add(requestClass(entry(o, "classes")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Object o : Json.array(f, "tenants")) {
            Map<?, ?> t = entry(o, "tenants");
            tenants.add(new Tenant(String.valueOf(t.get("name")), Json.doubleValue(t, "share", 0)));
        }
        Map<?, ?> limits = Json.object(f, "policy_limits");
        Map<?, ?> rules = Json.object(f, "rules");
        ReportSource reports =
                switch (String.valueOf(Json.object(f, "report").get("source"))) {
                    case "answers" -> ReportSource.ANSWERS;
                    case "probe" -> ReportSource.PROBES;
                    default -> ReportSource.NONE;
                };
        return new Settings(
                seed,
                (int) Json.longValue(f, "rank", 0),
                (int) Json.longValue(f, "replicas_of_me", 1),
                (int) Json.longValue(f, "zone", 0),
                names(f, "zones"),
                classes,
                tenants,
                Json.doubleValue(f, "over_share_worth", 1),
                Json.doubleValue(Json.object(f, "charges"), "probe", 0),
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
                "ask".equals(f.get("discovery")),
                Json.flag(Json.object(f, "domain"), "warm_keys"),
                Json.longValue(f, "tick_us", 1000));
    }

    /** A list of names; its order gives each its number. */
    public static List<String> names(Map<?, ?> f, String name) {
        List<String> names = new ArrayList<>();
        for (Object o : Json.array(f, name)) {
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

    private static RequestClass requestClass(Map<?, ?> c) {
        Effect effect =
                switch (String.valueOf(c.get("effect"))) {
                    case "pure" -> Effect.SAFE;
                    case "token" -> Effect.KEYED;
                    case "side_effect" -> Effect.UNSAFE;
                    default -> throw new IllegalArgumentException("settings: unknown effect '" + c.get("effect") + "'");
                };
        Group group =
                switch (String.valueOf(c.get("group"))) {
                    case "zone" -> Group.ZONE;
                    case "cell" -> Group.CELL;
                    default -> Group.ALL;
                };
        return new RequestClass(
                String.valueOf(c.get("name")),
                effect,
                group,
                Json.longValue(c, "dedup_window_us", 0),
                Json.longValue(c, "aim_us", 0),
                Json.doubleValue(c, "aim_stretch", 0),
                Json.longValue(c, "deadline_us", 0),
                Json.doubleValue(c, "worth", 1),
                Json.doubleValue(c, "late_value", 0),
                Json.flag(c, "streaming"));
    }
}
