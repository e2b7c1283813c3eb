package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Judges by what operators sent and were told alone: nothing that was acknowledged or read is lost or goes
 * back, and of one name and version there is one content. Used by several threads.
 */
public final class OperatorChecks {

    private static final Pattern TENANT =
            Pattern.compile("\"(t\\d+)\":\\{\"apiKeys\":\\[\"(k\\d+)\"],\"configVersion\":\"r(\\d+)\"}");

    /** The highest version that whoever asks from now on must find, by name. */
    private final Map<String, Long> floor = new TreeMap<>();

    private final Map<String, String> contents = new HashMap<>();
    private final List<String> acknowledged = new ArrayList<>();
    private String breach;
    private int again;
    private int taken;
    private int reads;
    private int open;
    private int refused;

    /** The first breach, or null. */
    public synchronized String breach() {
        return breach;
    }

    public static String order(String tenant, String key, long version) {
        return "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r"
                + version + "\"}}}}";
    }

    /** What must be found by a call that begins now. */
    public synchronized Map<String, Long> floor() {
        return new TreeMap<>(floor);
    }

    /** A change was answered. */
    public synchronized void modified(String order, int status) {
        if (status == 200) {
            taken++;
            acknowledged.add(order);
            found(order);
        } else if (status == 409) {
            refused++;
        } else if (status == 400) {
            breach("a change that is valid was refused: " + order);
        } else {
            open++;
        }
    }

    /** An order that was acknowledged at some time, for a draw; null where there is none yet. */
    public synchronized String acknowledged(int draw) {
        return acknowledged.isEmpty() ? null : acknowledged.get(Math.floorMod(draw, acknowledged.size()));
    }

    /** What was acknowledged has been sent once more: it is never refused. */
    public synchronized void again(String order, int status) {
        again++;
        if (status >= 400 && status < 500) {
            breach("what was acknowledged is refused with " + status + ": " + order);
        }
    }

    public synchronized void read(Map<String, Long> least, String body) {
        reads++;
        Map<String, Long> found = found(body);
        least.forEach((tenant, version) -> {
            if (found.getOrDefault(tenant, 0L) < version) {
                breach(tenant + " is read at r" + found.get(tenant) + " after r" + version);
            }
        });
    }

    private Map<String, Long> found(String text) {
        Map<String, Long> found = new TreeMap<>();
        for (Matcher each = TENANT.matcher(text); each.find(); ) {
            long version = Long.parseLong(each.group(3));
            found.put(each.group(1), version);
            floor.merge(each.group(1), version, Math::max);
            String before = contents.putIfAbsent(each.group(1) + " r" + version, each.group(2));
            if (before != null && !before.equals(each.group(2))) {
                breach(each.group(1) + " r" + version + " is " + before + " and " + each.group(2));
            }
        }
        return found;
    }

    private void breach(String what) {
        breach = breach == null ? what : breach;
    }

    @Override
    public synchronized String toString() {
        return taken + " taken, " + refused + " refused, " + open + " open, " + reads + " reads, " + again
                + " sent again";
    }
}
