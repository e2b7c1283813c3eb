package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One API call of an operator: items to upsert and to withdraw, accepted all together or not at all. Immutable. */
public final class ConfigurationChange {

    private final List<Item> items;

    ConfigurationChange(Collection<Item> items) {
        this.items = byAscendingVersion(items);
    }

    private static List<Item> byAscendingVersion(Collection<Item> items) {
        Map<ItemKey, List<Item>> byKey = new LinkedHashMap<>();
        for (Item item : items) {
            byKey.computeIfAbsent(item.key(), key -> new ArrayList<>()).add(item);
        }
        return byKey.values().stream()
                .flatMap(versions -> versions.stream().sorted(Comparator.comparingLong(Item::version)))
                .toList();
    }

    /** The items as submitted; those of one key in ascending order of their versions. */
    public List<Item> items() {
        return items;
    }

    /** A change that a controller makes itself. */
    public static ConfigurationChange of(Item item) {
        return new ConfigurationChange(List.of(item));
    }

    /** Parses the body of an API call. */
    public static Either<Rejection, ConfigurationChange> read(byte[] body) {
        try {
            return Either.right(new ConfigurationChangeReader().read(body));
        } catch (IOException e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }

    /**
     * The items that change when this is applied to the current configuration: an empty list where all of it was
     * accepted already.
     *
     * <p>Of each key the highest version is in force. A lower version that was never used is accepted and
     * superseded in one step: it never comes into force, but its content is fixed from then on. Every new version
     * must be valid together with the current configuration. A version that was accepted before is acknowledged
     * again, whatever the current configuration is.
     */
    public Either<Rejection, List<Item>> applyTo(Configuration current) {
        return new ConfigurationMerge(items, current).run();
    }
}
