package org.cypressweir.fleet.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What processes say of their contact with others. Words that are not repeated fade. */
final class FailureReports {

    /** Said again after so many periods while it holds, and forgotten after so many without a word. */
    static final int REPEAT = 12;

    private static final int FADE = 3 * REPEAT;
    /** Reports on one member at most: neighbours, and those that looked for it. */
    private static final int MOST = 64;

    private record Kept(FailureReport report, long at) {}

    private final Map<String, Map<String, Kept>> about = new TreeMap<>();

    /** Takes a report that is newer than the one by the same process; whether it is. */
    boolean take(long now, FailureReport report) {
        Map<String, Kept> known = about.computeIfAbsent(report.about(), n -> new HashMap<>());
        Kept before = known.get(report.reporter());
        boolean later = before == null
                ? known.size() < MOST
                : report.reporterIncarnation() > before.report.reporterIncarnation()
                        || report.reporterIncarnation() == before.report.reporterIncarnation()
                                && report.number() > before.report.number();
        if (later) {
            known.put(report.reporter(), new Kept(report, now));
        }
        return later;
    }

    boolean none() {
        return about.isEmpty();
    }

    /** Names that something is said about. */
    List<String> subjects() {
        return new ArrayList<>(about.keySet());
    }

    List<FailureReport> on(String name) {
        List<FailureReport> list = new ArrayList<>();
        about.getOrDefault(name, Map.of()).values().forEach(k -> list.add(k.report));
        return list;
    }

    /** The last word of one process on another; null for none. */
    FailureReport by(String reporter, String name) {
        Kept kept = about.getOrDefault(name, Map.of()).get(reporter);
        return kept == null ? null : kept.report;
    }

    void forget(String name) {
        about.remove(name);
    }

    /** Whether any report has faded since the last call. */
    boolean fade(long now, long periodMicros) {
        boolean faded = false;
        for (Map<String, Kept> known : about.values()) {
            faded |= known.values().removeIf(k -> now - k.at > FADE * periodMicros);
        }
        about.values().removeIf(Map::isEmpty);
        return faded;
    }
}
