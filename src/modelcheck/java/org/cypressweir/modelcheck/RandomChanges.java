package org.cypressweir.modelcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** Draws orders: new ones, lower ones, others under the same version, invalid ones, and any before again. */
final class RandomChanges {

    private static final int NAMES = 7;
    private static final int MOST_ITEMS = 3;
    private static final int SERVICES = 2;

    /** An order's body and what can be said of it by itself. */
    record Drawn(String body, ChangeHistoryChecks.Validity validity) {}

    private final SplittableRandom random;
    private final List<Drawn> drawn = new ArrayList<>();
    private final Map<Integer, Long> tops = new HashMap<>();

    RandomChanges(SplittableRandom random) {
        this.random = random;
    }

    Drawn next() {
        if (!drawn.isEmpty() && random.nextInt(5) < 2) {
            int most = random.nextBoolean() ? drawn.size() : Math.min(20, drawn.size());
            return drawn.get(drawn.size() - 1 - random.nextInt(most));
        }
        Drawn made = make();
        drawn.add(made);
        return made;
    }

    private long version(int name) {
        long top = tops.getOrDefault(name, 0L);
        long version = top == 0 || random.nextInt(5) < 3
                ? top + 1 + random.nextInt(3)
                : random.nextInt(8) == 0 ? 1 + random.nextLong(top) : Math.max(1, top - random.nextInt(6));
        tops.put(name, Math.max(top, version));
        return version;
    }

    private Drawn make() {
        Map<String, Map<String, String>> upsert = new TreeMap<>();
        Map<String, List<String>> withdraw = new TreeMap<>();
        ChangeHistoryChecks.Validity validity = ChangeHistoryChecks.Validity.ALWAYS;
        int first = random.nextInt(NAMES);
        for (int i = random.nextInt(MOST_ITEMS); i >= 0; i--) {
            int name = (first + i) % NAMES;
            String table = name < 3 ? "tenantTable" : name < 3 + SERVICES ? "serviceTable" : "routeTable";
            String version = ",\"configVersion\":\"r" + version(name) + "\"}";
            if (name >= 3 && validity == ChangeHistoryChecks.Validity.ALWAYS) {
                validity = ChangeHistoryChecks.Validity.DEPENDS;
            }
            if (random.nextInt(6) == 0) {
                withdraw.computeIfAbsent(table, t -> new ArrayList<>()).add("{\"name\":\"n" + name + "\"" + version);
                continue;
            }
            boolean wrong = random.nextInt(16) == 0;
            validity = wrong ? ChangeHistoryChecks.Validity.NEVER : validity;
            upsert.computeIfAbsent(table, t -> new TreeMap<>()).put("n" + name, content(table, name, wrong) + version);
        }
        List<String> tables = upsert.entrySet().stream()
                .map(t -> "\"" + t.getKey() + "\":"
                        + object(t.getValue().entrySet().stream()
                                .map(n -> "\"" + n.getKey() + "\":" + n.getValue())
                                .toList()))
                .toList();
        List<String> lists = withdraw.entrySet().stream()
                .map(t -> "\"" + t.getKey() + "\":" + t.getValue())
                .toList();
        return new Drawn("{\"upsert\":" + object(tables) + ",\"withdraw\":" + object(lists) + "}", validity);
    }

    private static String object(List<String> members) {
        return "{" + String.join(",", members) + "}";
    }

    private String content(String table, int name, boolean wrong) {
        int which = random.nextInt(3);
        return switch (table) {
            case "tenantTable" -> "{\"apiKeys\":[\"" + name + "-" + which + "\"],\"ratePerS\":" + (wrong ? -1 : which);
            case "serviceTable" -> "{\"healthPath\":\"" + (wrong ? "h" : "/h") + "\",\"maxConnections\":" + (1 + which);
            default -> "{\"hostname\":\"h\",\"pathPrefix\":\"/" + (which == 0 ? "x" : "n" + name)
                    + "/\",\"routeType\":\"idempotent\",\"timeout\":\"" + (wrong ? 700 : 2)
                    + "s\",\"targetLatency\":\"1s\",\"priority\":1,\"maxAttempts\":1,\"publicAccess\":true,"
                    + "\"service\":\"n" + (3 + random.nextInt(SERVICES)) + "\"";
        };
    }
}
