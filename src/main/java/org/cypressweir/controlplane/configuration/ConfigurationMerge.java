package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Merges one change into a configuration. Used once, by one thread. */
final class ConfigurationMerge {

    private final List<Item> items;
    private final Configuration current;
    private final Map<ItemKey, Item> changes = new LinkedHashMap<>();
    /** The items that come into force, by key. */
    private final Map<ItemKey, Item> effective = new LinkedHashMap<>();
    /** The items for which a higher version was accepted before, by key. */
    private final Map<ItemKey, Item> supersededOnArrival = new LinkedHashMap<>();

    private final List<Item> newItems = new ArrayList<>();
    private Rejection tooOld;

    /** @param items those of one key in ascending order of their versions */
    ConfigurationMerge(List<Item> items, Configuration current) {
        this.items = items;
        this.current = current;
    }

    /** The items that change, or why the change is rejected. */
    Either<Rejection, List<Item>> run() {
        for (Item item : items) {
            Rejection conflict = add(item);
            if (conflict != null) {
                return Either.left(conflict);
            }
        }
        Rejection rejection = validate();
        return rejection == null ? Either.right(List.copyOf(changes.values())) : Either.left(rejection);
    }

    /** Returns a conflict, or null. */
    private Rejection add(Item item) {
        Item existing = changes.getOrDefault(item.key(), current.get(item.key()));
        Item.VersionStatus status = existing == null ? Item.VersionStatus.UNUSED : existing.statusOf(item);
        switch (status) {
            case ACCEPTED_WITH_OTHER_CONTENT -> {
                return Rejection.conflict(
                        describe(item) + " was already accepted with different content",
                        new RejectionCause.InvalidItem(item.key()));
            }
            case TOO_OLD -> tooOld = Rejection.versionTooOld(
                    describe(item) + " is too old: whether it was accepted is no longer known",
                    new RejectionCause.InvalidItem(item.key()));
            case UNUSED -> addUnused(item, existing);
            case ACCEPTED -> {
                // A repeated change is acknowledged again.
            }
        }
        return null;
    }

    private void addUnused(Item item, Item existing) {
        newItems.add(item);
        if (existing == null) {
            changes.put(item.key(), item);
            effective.put(item.key(), item);
        } else if (item.version() < existing.version()) {
            changes.put(item.key(), existing.withSuperseded(item));
            supersededOnArrival.put(item.key(), item);
        } else {
            changes.put(item.key(), item.replacing(existing));
            effective.put(item.key(), item);
        }
    }

    /** An item that is superseded on arrival must be as valid as if it came into force. */
    private Rejection validate() {
        Configuration next = current.with(changes.values());
        Rejection rejection = ConfigurationValidator.validateItems(newItems);
        if (rejection == null) {
            rejection = ConfigurationValidator.validateRelations(next, effective.values());
        }
        if (rejection == null) {
            Configuration asIfEffective = next.with(supersededOnArrival.values());
            rejection = ConfigurationValidator.validateRelations(asIfEffective, supersededOnArrival.values());
        }
        return rejection == null ? tooOld : rejection;
    }

    private static String describe(Item item) {
        return item.key() + " r" + item.version();
    }
}
