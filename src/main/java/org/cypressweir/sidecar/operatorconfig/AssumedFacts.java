package org.cypressweir.sidecar.operatorconfig;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.Group;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/**
 * Facts for a check without settings. Every name that the file uses is assumed to exist and the settings are
 * assumed to forbid nothing, so that everything that does not depend on the settings is still checked.
 */
public final class AssumedFacts {

    /** What is not checked without settings, as printed for operators. */
    public static final String UNCHECKED = "classes, zones, models and tenants by their names, effects"
            + " and deadlines of classes, and what the settings allow";

    private static final long UNLIMITED_MICROS = 3_600_000_000L;
    private static final int UNLIMITED_COUNT = 1_000_000;
    private static final Set<String> CLASS_KEYS = Set.of("class", "classes");

    private final Set<String> classes = new TreeSet<>();
    private final Set<String> zones = new TreeSet<>();
    private final Set<String> models = new TreeSet<>();

    private AssumedFacts() {}

    /** Facts with all names that the text uses; with defaults only if the text is not valid TOML. */
    public static Facts of(String text) {
        AssumedFacts collected = new AssumedFacts();
        if (TextLimits.fits(text, new Problems(""))) {
            collected.collectFromFile(Toml.parse(text));
        }
        if (collected.classes.isEmpty()) {
            collected.classes.add("any");
        }
        List<RequestClass> requestClasses = collected.classes.stream()
                .map(n -> new RequestClass(
                        n,
                        Effect.SAFE,
                        Group.ALL,
                        UNLIMITED_MICROS,
                        UNLIMITED_MICROS,
                        0,
                        UNLIMITED_MICROS,
                        1,
                        1,
                        false))
                .toList();
        Settings settings = new Settings(
                0,
                0,
                UNLIMITED_COUNT,
                0,
                List.copyOf(collected.zones),
                requestClasses,
                List.of(),
                1,
                0,
                new Limits(
                        100,
                        true,
                        true,
                        true,
                        UNLIMITED_MICROS,
                        UNLIMITED_MICROS,
                        UNLIMITED_COUNT,
                        UNLIMITED_COUNT,
                        true,
                        UNLIMITED_COUNT),
                new Rules(1, 0, 0, 0, 0, 0, 0),
                ReportSource.NONE,
                false,
                false,
                1_000);
        return new Facts(
                settings,
                List.copyOf(collected.zones),
                List.copyOf(collected.models),
                UNLIMITED_COUNT,
                new InetSocketAddress("127.0.0.1", 0));
    }

    private void collectFromFile(TomlTable toml) {
        if (toml.get(List.of("classes")) instanceof TomlTable sections) {
            classes.addAll(sections.keySet());
        }
        for (String kind : List.of("routes", "plugins", "pools")) {
            if (toml.get(List.of(kind)) instanceof TomlTable sections) {
                sections.keySet().forEach(name -> {
                    if (sections.get(List.of(name)) instanceof TomlTable section) {
                        collectFromSection(section);
                    }
                });
            }
        }
    }

    private void collectFromSection(TomlTable section) {
        CLASS_KEYS.forEach(key -> collectNames(section.get(List.of(key)), classes));
        if (section.get(List.of("weaken")) instanceof TomlArray pairs) {
            for (int i = 0; i < pairs.size(); i++) {
                if (pairs.get(i) instanceof String pair) {
                    classes.addAll(List.of(pair.split(">", -1)));
                }
            }
        }
        if (section.get(List.of("servers")) instanceof TomlArray servers) {
            for (int i = 0; i < servers.size(); i++) {
                if (servers.get(i) instanceof TomlTable server) {
                    collectNames(server.get(List.of("zone")), zones);
                    collectNames(server.get(List.of("model")), models);
                }
            }
        }
    }

    private static void collectNames(Object value, Set<String> collected) {
        if (value instanceof String name) {
            collected.add(name);
        } else if (value instanceof TomlArray list) {
            for (int i = 0; i < list.size(); i++) {
                collectNames(list.get(i), collected);
            }
        }
    }
}
