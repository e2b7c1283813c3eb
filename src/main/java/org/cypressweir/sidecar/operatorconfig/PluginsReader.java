package org.cypressweir.sidecar.operatorconfig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.sidecar.operatorconfig.OperatorsFile.PluginSection;
import org.cypressweir.sidecar.route.PluginConfiguration;
import org.cypressweir.sidecar.route.PluginGrant;

/** Reads {@code [plugins.NAME]}: the WebAssembly module, its resource limits and its permissions. */
final class PluginsReader {

    private static final long MAX_MODULE_BYTES = 4 << 20;

    private final Facts facts;
    private final Path folder;

    /** @param folder the directory that relative file names refer to; null for the working directory */
    PluginsReader(Facts facts, Path folder) {
        this.facts = facts;
        this.folder = folder;
    }

    PluginSection read(Section section) {
        byte[] module = readModule(section);
        long order = section.count("order", -1_000, 1_000, 0);
        long deadline = section.time("deadline", 100, 1_000_000, 5_000);
        long memory = section.count("max_memory", 1, 16, 2);
        String failure = section.text("on_failure");
        if (failure != null && !failure.equals("open") && !failure.equals("closed")) {
            section.problem(
                    "on_failure",
                    "no policy '" + failure + "'; there are open and closed"
                            + SpellingHint.didYouMean(failure, List.of("open", "closed")));
        }
        PluginGrant grant = new PluginGrant(
                readGrantedHeaders(section),
                readGrantedClasses(section),
                readWeakenedPairs(section),
                Boolean.TRUE.equals(section.flag("refuse")));
        if (failure == null && restrictsRequests(grant)) {
            section.problems()
                    .add(
                            section.line(),
                            "[" + section.title() + "] may refuse or make a class"
                                    + " stricter and lacks 'on_failure': \"closed\" refuses what it was not asked"
                                    + " about,"
                                    + " \"open\" lets it pass");
        }
        Map<String, String> config = new HashMap<>();
        Section configSection = section.table("config");
        if (configSection != null) {
            configSection.keys().forEach(k -> config.put(k, configSection.text(k)));
        }
        section.rejectUnknownKeys();
        String name = section.title().substring(section.title().indexOf('.') + 1);
        return module == null
                ? null
                : new PluginSection(
                        (int) order,
                        new PluginConfiguration(
                                name,
                                section.lineOf("file"),
                                module,
                                deadline,
                                (int) memory * 16,
                                "closed".equals(failure),
                                grant,
                                config));
    }

    private byte[] readModule(Section section) {
        String name = section.required("file");
        if (name == null) {
            return null;
        }
        Path file = folder == null ? Path.of(name) : folder.resolve(name);
        try {
            if (Files.size(file) > MAX_MODULE_BYTES) {
                section.problem("file", "'" + name + "' is larger than " + MAX_MODULE_BYTES + " bytes");
                return null;
            }
            return Files.readAllBytes(file);
        } catch (IOException e) {
            section.problem("file", "'" + name + "' can't be read");
            return null;
        }
    }

    private static Set<String> readGrantedHeaders(Section section) {
        Set<String> headers = new HashSet<>();
        List<String> names = section.texts("headers");
        for (String name : names == null ? List.<String>of() : names) {
            String lowerCaseName = name.toLowerCase(Locale.ROOT);
            if (!name.matches(OperatorsReader.TOKEN)) {
                section.problem(
                        "headers", "there is no header '" + name + "'; a name is one word (RFC 9110, section 5.1)");
            } else if (lowerCaseName.matches(PluginGrant.PROTECTED_HEADERS)) {
                section.problem(
                        "headers",
                        "'" + name + "' belongs to the sidecar or to the connection and can't" + " be granted");
            }
            headers.add(lowerCaseName);
        }
        return Set.copyOf(headers);
    }

    private Set<String> readGrantedClasses(Section section) {
        List<String> names = section.texts("classes");
        for (String name : names == null ? List.<String>of() : names) {
            requireKnownClass(section, "classes", name);
        }
        return names == null ? Set.of() : Set.copyOf(new HashSet<>(names));
    }

    /**
     * Whether letting a request pass unchecked could admit one that the plug-in would have refused or moved to a
     * stricter class.
     */
    private boolean restrictsRequests(PluginGrant grant) {
        return grant.refuse()
                || grant.classes().stream()
                        .flatMap(c -> facts.requestClass(c).stream())
                        .anyMatch(c -> c.effect() != Effect.SAFE);
    }

    private void requireKnownClass(Section section, String key, String name) {
        if (facts.requestClass(name).isEmpty()) {
            section.problem(
                    key,
                    "the settings have no class '" + name + "'" + SpellingHint.didYouMean(name, facts.classNames()));
        }
    }

    private Set<String> readWeakenedPairs(Section section) {
        List<String> pairs = section.texts("weaken");
        for (String pair : pairs == null ? List.<String>of() : pairs) {
            String[] sides = pair.split(">", -1);
            if (sides.length != 2) {
                section.problem("weaken", "'" + pair + "' is no pair such as 'book>search'");
            } else {
                requireKnownClass(section, "weaken", sides[0]);
                requireKnownClass(section, "weaken", sides[1]);
            }
        }
        return pairs == null ? Set.of() : Set.copyOf(new HashSet<>(pairs));
    }
}
