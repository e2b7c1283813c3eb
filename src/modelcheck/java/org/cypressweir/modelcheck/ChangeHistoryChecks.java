package org.cypressweir.modelcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;

/**
 * Checks the answers to configuration changes, each of which may be submitted many times. Uses only what was
 * submitted and answered:
 * <ul>
 * <li>for each key and version only one content is ever acknowledged or read;
 * <li>a change that was answered 200 is answered neither 400 nor 409 by a call that begins after it, and one
 * that was answered 409 by any call is never answered 200 by another;
 * <li>a change is answered 409 only if another content was submitted for one of its versions, and never 400 if it
 * is always valid;
 * <li>a change that is invalid by itself is never answered 200, and never read; one that was answered 409 is not
 * read either;
 * <li>a read returns no lower version of an item than was answered 200 before.
 * </ul>
 * 400 first and 200 later is no violation: whether a change is valid may depend on the current configuration. Nor is
 * 400 for a call that was in flight beside the one that was answered 200: it may have been validated before.
 */
final class ChangeHistoryChecks {

    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int CONFLICT = 409;
    private static final String WITHDRAWN = "-";

    /** Whether a change is always or never valid, or depends on the current configuration. */
    enum Validity {
        ALWAYS,
        NEVER,
        DEPENDS
    }

    private record Version(ItemKey key, long number) {}

    private static final class Submitted {
        private final List<Item> items;
        private final Validity validity;
        private boolean acknowledged;
        private boolean conflict;

        private Submitted(List<Item> items, Validity validity) {
            this.items = items;
            this.validity = validity;
        }

        private boolean mayBeRead() {
            return !conflict && validity != Validity.NEVER;
        }
    }

    private final Map<String, Submitted> changes = new HashMap<>();
    private final Map<Version, Map<Object, List<Submitted>>> changesByContent = new HashMap<>();
    private final Map<ItemKey, TreeSet<Long>> submittedVersions = new HashMap<>();
    private final Map<Version, Object> knownContents = new HashMap<>();
    private final Map<ItemKey, Long> highestAcknowledged = new HashMap<>();
    private final Map<Integer, Integer> answersByStatus = new TreeMap<>();
    private String violation;

    /** The first violation, or null. */
    String violation() {
        return violation;
    }

    /** How often each status was answered. */
    Map<Integer, Integer> answersByStatus() {
        return answersByStatus;
    }

    private static Object content(Item item) {
        return item.withdrawn() ? WITHDRAWN : item.content();
    }

    private static Version version(Item item) {
        return new Version(item.key(), item.version());
    }

    void submitted(String body, ConfigurationChange change, Validity validity) {
        if (changes.containsKey(body)) {
            return;
        }
        Submitted submitted = new Submitted(change.items(), validity);
        changes.put(body, submitted);
        for (Item item : submitted.items) {
            changesByContent
                    .computeIfAbsent(version(item), created -> new HashMap<>())
                    .computeIfAbsent(content(item), created -> new ArrayList<>())
                    .add(submitted);
            submittedVersions
                    .computeIfAbsent(item.key(), created -> new TreeSet<>())
                    .add(item.version());
        }
    }

    /** The bodies of the changes that were answered 200. */
    List<String> acknowledgedChanges() {
        return changes.keySet().stream().filter(this::isAcknowledged).sorted().toList();
    }

    /** Whether a change has been answered 200 so far. */
    boolean isAcknowledged(String body) {
        return changes.get(body).acknowledged;
    }

    /** How many higher versions were submitted of an item of a change: the maximum over its items. */
    int higherVersions(String body) {
        return changes.get(body).items.stream()
                .mapToInt(item -> submittedVersions
                        .get(item.key())
                        .tailSet(item.version(), false)
                        .size())
                .max()
                .orElse(0);
    }

    /** @param acknowledgedBefore whether it had been answered 200 when this call began */
    void answered(String body, int status, boolean acknowledgedBefore) {
        answersByStatus.merge(status, 1, Integer::sum);
        Submitted submitted = changes.get(body);
        switch (status) {
            case OK -> answeredOk(body, submitted);
            case INVALID -> answeredInvalid(body, submitted, acknowledgedBefore);
            case CONFLICT -> answeredConflict(body, submitted, acknowledgedBefore);
            default -> {
                // The outcome is unknown: the change may or may not have been accepted.
            }
        }
    }

    private void answeredOk(String body, Submitted submitted) {
        submitted.acknowledged = true;
        if (submitted.conflict) {
            addViolation("200 after 409: " + body);
        }
        if (submitted.validity == Validity.NEVER) {
            addViolation("200 for an invalid change: " + body);
        }
        for (Item item : submitted.items) {
            checkSameContent(item);
            highestAcknowledged.merge(item.key(), item.version(), Math::max);
        }
    }

    private void answeredInvalid(String body, Submitted submitted, boolean acknowledgedBefore) {
        if (acknowledgedBefore) {
            addViolation("400 after 200: " + body);
        }
        if (submitted.validity == Validity.ALWAYS) {
            addViolation("400 for a valid change: " + body);
        }
    }

    private void answeredConflict(String body, Submitted submitted, boolean acknowledgedBefore) {
        if (acknowledgedBefore || submitted.acknowledged) {
            addViolation("409 after 200: " + body);
        }
        submitted.conflict = true;
        boolean onlyContent = submitted.items.stream()
                .allMatch(item -> changesByContent.get(version(item)).size() == 1);
        if (onlyContent) {
            addViolation("409, and no other content has that version: " + body);
        }
    }

    private void checkSameContent(Item item) {
        Object known = knownContents.putIfAbsent(version(item), content(item));
        if (known != null && !known.equals(content(item))) {
            addViolation(item.key() + " r" + item.version() + " is " + known + " and " + content(item));
        }
    }

    /** The lowest versions that a read which begins now may return. */
    Map<ItemKey, Long> requiredVersions() {
        return Map.copyOf(highestAcknowledged);
    }

    /** Checks a read against the versions that were required when it began. */
    void read(Map<ItemKey, Long> requiredVersions, Configuration configuration) {
        requiredVersions.forEach((key, version) -> {
            Item found = configuration.get(key);
            if (found == null || found.version() < version) {
                addViolation(key + " is read as " + found + " after r" + version);
            }
        });
        configuration.items().forEach(this::checkReadItem);
    }

    private void checkReadItem(Item item) {
        checkSameContent(item);
        Map<Object, List<Submitted>> byContent = changesByContent.getOrDefault(version(item), Map.of());
        List<Submitted> sources = byContent.getOrDefault(content(item), List.of());
        if (sources.stream().noneMatch(Submitted::mayBeRead)) {
            addViolation(item.key() + " r" + item.version() + " is read, and was rejected or never submitted");
        }
    }

    void addViolation(String description) {
        violation = violation == null ? description : violation;
    }
}
