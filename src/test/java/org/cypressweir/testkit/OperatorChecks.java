package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the consistency of the configuration using only what operators submitted, were answered and read: nothing that
 * was acknowledged or read is lost or returns to a lower version, and each version of a tenant has one content.
 * Thread-safe.
 */
public final class OperatorChecks {

    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 409;

    private static final Pattern TENANT_ITEM =
            Pattern.compile("\"(t\\d+)\":\\{\"apiKeys\":\\[\"(k\\d+)\"],\"configVersion\":\"r(\\d+)\"}");

    /** The lowest version that a read which begins now may return, by tenant. */
    private final Map<String, Long> requiredVersions = new TreeMap<>();

    private final Map<String, String> keysByVersion = new HashMap<>();
    private final List<String> acknowledged = new ArrayList<>();
    private String violation;
    private int repeated;
    private int accepted;
    private int reads;
    private int unanswered;
    private int conflicts;

    /** The first violation, or null. */
    public synchronized String violation() {
        return violation;
    }

    /** The body of a change that sets a tenant's only API key. */
    public static String tenantChange(String tenant, String key, long version) {
        return "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r"
                + version + "\"}}}}";
    }

    /** The lowest versions that a read which begins now may return, by tenant. */
    public synchronized Map<String, Long> floor() {
        return new TreeMap<>(requiredVersions);
    }

    /** Records the answer to a new change. */
    public synchronized void modified(String change, int status) {
        if (status == OK) {
            accepted++;
            acknowledged.add(change);
            recordVersions(change);
        } else if (status == CONFLICT) {
            conflicts++;
        } else if (status == INVALID) {
            addViolation("a valid change was rejected as invalid: " + change);
        } else {
            unanswered++;
        }
    }

    /** The acknowledged change that a random number selects; null if there is none yet. */
    public synchronized String acknowledged(int random) {
        return acknowledged.isEmpty() ? null : acknowledged.get(Math.floorMod(random, acknowledged.size()));
    }

    /** Records the answer to an acknowledged change that was submitted once more: it must not be rejected. */
    public synchronized void modifiedAgain(String change, int status) {
        repeated++;
        if (status >= 400 && status < 500) {
            addViolation("an acknowledged change is rejected with " + status + ": " + change);
        }
    }

    /** Checks the result of a read against the lowest versions that were allowed when it began. */
    public synchronized void read(Map<String, Long> floor, String body) {
        reads++;
        Map<String, Long> versions = recordVersions(body);
        floor.forEach((tenant, version) -> {
            if (versions.getOrDefault(tenant, 0L) < version) {
                addViolation(tenant + " is read at r" + versions.get(tenant) + " after r" + version);
            }
        });
    }

    /** Returns the version of each tenant in the text. All later reads must return these versions or higher ones. */
    private Map<String, Long> recordVersions(String text) {
        Map<String, Long> versions = new TreeMap<>();
        for (Matcher matcher = TENANT_ITEM.matcher(text); matcher.find(); ) {
            String tenant = matcher.group(1);
            String apiKey = matcher.group(2);
            long version = Long.parseLong(matcher.group(3));
            versions.put(tenant, version);
            requiredVersions.merge(tenant, version, Math::max);
            String known = keysByVersion.putIfAbsent(tenant + " r" + version, apiKey);
            if (known != null && !known.equals(apiKey)) {
                addViolation(tenant + " r" + version + " is " + known + " and " + apiKey);
            }
        }
        return versions;
    }

    private void addViolation(String description) {
        violation = violation == null ? description : violation;
    }

    @Override
    public synchronized String toString() {
        return "accepted=" + accepted + " conflicts=" + conflicts + " unanswered=" + unanswered + " reads=" + reads
                + " repeated=" + repeated;
    }
}
