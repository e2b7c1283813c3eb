package org.cypressweir.modelcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cypressweir.modelcheck.ChangeHistoryChecks.Validity;

/**
 * Draws random configuration changes: with new versions, lower versions, other contents for a used version, invalid
 * contents, and repetitions of earlier changes. The same seed draws the same changes.
 */
final class RandomChanges {

    private static final int NAMES = 7;
    private static final int FIRST_SERVICE = 3;
    private static final int SERVICES = 2;
    private static final int MAX_ITEMS = 3;
    private static final int RECENT_CHANGES = 20;

    /** The body of a change, and whether it is valid by itself. */
    record DrawnChange(String body, Validity validity) {}

    private final SplittableRandom random;
    private final List<DrawnChange> drawnChanges = new ArrayList<>();
    private final Map<Integer, Long> highestVersions = new HashMap<>();

    RandomChanges(SplittableRandom random) {
        this.random = random;
    }

    DrawnChange next() {
        if (!drawnChanges.isEmpty() && random.nextInt(5) < 2) {
            return repeatedChange();
        }
        DrawnChange change = newChange();
        drawnChanges.add(change);
        return change;
    }

    private DrawnChange repeatedChange() {
        int size = drawnChanges.size();
        int range = random.nextBoolean() ? size : Math.min(RECENT_CHANGES, size);
        return drawnChanges.get(size - 1 - random.nextInt(range));
    }

    private long version(int name) {
        long highest = highestVersions.getOrDefault(name, 0L);
        long version = drawVersion(highest);
        highestVersions.put(name, Math.max(highest, version));
        return version;
    }

    private long drawVersion(long highest) {
        if (highest == 0 || random.nextInt(5) < 3) {
            return highest + 1 + random.nextInt(3);
        }
        return random.nextInt(8) == 0 ? 1 + random.nextLong(highest) : Math.max(1, highest - random.nextInt(6));
    }

    private static String table(int name) {
        if (name < FIRST_SERVICE) {
            return "tenantTable";
        }
        return name < FIRST_SERVICE + SERVICES ? "serviceTable" : "routeTable";
    }

    private DrawnChange newChange() {
        Map<String, Map<String, String>> upserts = new TreeMap<>();
        Map<String, List<String>> withdrawals = new TreeMap<>();
        Validity validity = Validity.ALWAYS;
        int first = random.nextInt(NAMES);
        for (int i = random.nextInt(MAX_ITEMS); i >= 0; i--) {
            int name = (first + i) % NAMES;
            String table = table(name);
            String version = ",\"configVersion\":\"r" + version(name) + "\"}";
            if (name >= FIRST_SERVICE && validity == Validity.ALWAYS) {
                validity = Validity.DEPENDS;
            }
            if (random.nextInt(6) == 0) {
                withdrawals
                        .computeIfAbsent(table, created -> new ArrayList<>())
                        .add("{\"name\":\"n" + name + "\"" + version);
                continue;
            }
            boolean invalid = random.nextInt(16) == 0;
            validity = invalid ? Validity.NEVER : validity;
            upserts.computeIfAbsent(table, created -> new TreeMap<>())
                    .put("n" + name, content(table, name, invalid) + version);
        }
        return new DrawnChange(body(upserts, withdrawals), validity);
    }

    private static String body(Map<String, Map<String, String>> upserts, Map<String, List<String>> withdrawals) {
        List<String> upsertTables = new ArrayList<>();
        upserts.forEach((table, items) -> upsertTables.add(member(table, object(members(items)))));
        List<String> withdrawTables = new ArrayList<>();
        withdrawals.forEach((table, items) -> withdrawTables.add(member(table, items)));
        return "{\"upsert\":" + object(upsertTables) + ",\"withdraw\":" + object(withdrawTables) + "}";
    }

    private static List<String> members(Map<String, String> values) {
        return values.entrySet().stream()
                .map(entry -> member(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static String member(String name, Object value) {
        return "\"" + name + "\":" + value;
    }

    private static String object(List<String> members) {
        return "{" + String.join(",", members) + "}";
    }

    /** The JSON object of an item without its version and its closing brace. */
    private String content(String table, int name, boolean invalid) {
        int variant = random.nextInt(3);
        return switch (table) {
            case "tenantTable" -> "{\"apiKeys\":[\"" + name + "-" + variant + "\"],\"ratePerS\":"
                    + (invalid ? -1 : variant);
            case "serviceTable" -> "{\"healthPath\":\"" + (invalid ? "h" : "/h") + "\",\"maxConnections\":"
                    + (1 + variant);
            default -> "{\"hostname\":\"h\",\"pathPrefix\":\"/" + (variant == 0 ? "x" : "n" + name)
                    + "/\",\"routeType\":\"idempotent\",\"timeout\":\"" + (invalid ? 700 : 2)
                    + "s\",\"targetLatency\":\"1s\",\"priority\":1,\"maxAttempts\":1,\"publicAccess\":true,"
                    + "\"service\":\"n" + (FIRST_SERVICE + random.nextInt(SERVICES)) + "\"";
        };
    }
}
