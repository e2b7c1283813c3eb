package org.cypressweir.modelcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;

/**
 * Judges the answers to orders, each of which may be sent many times, by what was sent and told alone:
 * <ul>
 * <li>of one name and version one content is acknowledged or read, for all time;
 * <li>an order that was told 200 is told neither 400 nor 409 by a call that begins after it, and one that was
 * told 409 by any call is never told 200 by another;
 * <li>409 only where another content was sent under one of its versions; 400 never for what is always valid;
 * <li>what is invalid by itself is never told 200, and never read; what was told 409 is not read either;
 * <li>what is read is no lower than what was told 200 before.
 * </ul>
 * Told 400 first and 200 later is no breach: an order is valid or not together with what stands. So is 400
 * for a call that was on its way beside the one that was told 200: it may have been judged before.
 */
final class ChangeHistoryChecks {

    /** What can be said of an order by itself. */
    enum Validity {
        ALWAYS,
        NEVER,
        DEPENDS
    }

    private record Version(ItemKey key, long number) {}

    private static final class Sent {
        private final List<Item> items;
        private final Validity validity;
        private boolean taken;
        private boolean conflict;

        private Sent(List<Item> items, Validity validity) {
            this.items = items;
            this.validity = validity;
        }
    }

    private final Map<String, Sent> orders = new HashMap<>();
    private final Map<Version, Map<Object, List<Sent>>> contents = new HashMap<>();
    private final Map<ItemKey, TreeMap<Long, Boolean>> versions = new HashMap<>();
    private final Map<Version, Object> taken = new HashMap<>();
    private final Map<ItemKey, Long> floor = new HashMap<>();
    private final Map<Integer, Integer> told = new TreeMap<>();
    private String breach;

    /** The first breach, or null. */
    String breach() {
        return breach;
    }

    /** How often each status was told. */
    Map<Integer, Integer> told() {
        return told;
    }

    private static Object content(Item item) {
        return item.withdrawn() ? "-" : item.content();
    }

    void sent(String body, ConfigurationChange order, Validity validity) {
        if (orders.containsKey(body)) {
            return;
        }
        Sent sent = new Sent(order.items(), validity);
        orders.put(body, sent);
        for (Item item : sent.items) {
            contents.computeIfAbsent(new Version(item.key(), item.version()), v -> new HashMap<>())
                    .computeIfAbsent(content(item), c -> new ArrayList<>())
                    .add(sent);
            versions.computeIfAbsent(item.key(), k -> new TreeMap<>()).put(item.version(), true);
        }
    }

    /** Orders that were told 200. */
    List<String> acknowledged() {
        return orders.keySet().stream()
                .filter(b -> orders.get(b).taken)
                .sorted()
                .toList();
    }

    /** How many versions above an order's were sent, of the item of it that has most. */
    int passedBy(String body) {
        return orders.get(body).items.stream()
                .mapToInt(i -> versions.get(i.key()).tailMap(i.version(), false).size())
                .max()
                .orElse(0);
    }

    /** Whether an order was told 200, for a call that begins now. */
    boolean taken(String body) {
        return orders.get(body).taken;
    }

    /** @param before whether it had been told 200 when this call began */
    void told(String body, int status, boolean before) {
        told.merge(status, 1, Integer::sum);
        Sent sent = orders.get(body);
        if (status == 200) {
            sent.taken = true;
            if (sent.conflict || sent.validity == Validity.NEVER) {
                breach("200 for what " + (sent.conflict ? "was told 409: " : "is invalid: ") + body);
            }
            for (Item item : sent.items) {
                one(item);
                floor.merge(item.key(), item.version(), Math::max);
            }
        } else if (status == 400 || status == 409) {
            if (before || sent.taken && status == 409) {
                breach(status + " after 200: " + body);
            }
            if (status == 400 && sent.validity == Validity.ALWAYS) {
                breach("400 for what is valid: " + body);
            }
            if (status == 409) {
                sent.conflict = true;
                if (sent.items.stream()
                        .allMatch(i ->
                                contents.get(new Version(i.key(), i.version())).size() == 1)) {
                    breach("409, and nothing else has that version: " + body);
                }
            }
        }
    }

    private void one(Item item) {
        Object before = taken.putIfAbsent(new Version(item.key(), item.version()), content(item));
        if (before != null && !before.equals(content(item))) {
            breach(item.key() + " r" + item.version() + " is " + before + " and " + content(item));
        }
    }

    Map<ItemKey, Long> floor() {
        return Map.copyOf(floor);
    }

    /** What was read by a call that began when these versions had been told 200. */
    void read(Map<ItemKey, Long> least, Configuration manifest) {
        least.forEach((key, version) -> {
            Item found = manifest.get(key);
            if (found == null || found.version() < version) {
                breach(key + " is read as " + found + " after r" + version);
            }
        });
        for (Item item : manifest.items()) {
            one(item);
            Map<Object, List<Sent>> sent = contents.getOrDefault(new Version(item.key(), item.version()), Map.of());
            Set<Sent> may = new HashSet<>(sent.getOrDefault(content(item), List.of()));
            may.removeIf(s -> s.conflict || s.validity == Validity.NEVER);
            if (may.isEmpty()) {
                breach(item.key() + " r" + item.version() + " is read, and was refused or never sent");
            }
        }
    }

    void breach(String what) {
        breach = breach == null ? what : breach;
    }
}
