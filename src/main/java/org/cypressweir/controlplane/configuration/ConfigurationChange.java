package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** One call of an operator: items to put and items to withdraw, taken as a whole or not at all. */
public final class ConfigurationChange {

    private static final Pattern VERSION = Pattern.compile("r\\d{1,18}");

    private record ItemVersion(ItemKey key, long version) {}

    /** Of one name the lower versions come first. */
    private final List<Item> items;

    private ConfigurationChange(Collection<Item> items) {
        Map<ItemKey, List<Item>> named = new LinkedHashMap<>();
        items.forEach(
                i -> named.computeIfAbsent(i.key(), k -> new ArrayList<>()).add(i));
        this.items = named.values().stream()
                .flatMap(n -> n.stream().sorted(Comparator.comparingLong(Item::version)))
                .toList();
    }

    /** The items as ordered, of one name the highest version last. */
    public List<Item> items() {
        return items;
    }

    /** Reads a call's body. */
    public static Either<Rejection, ConfigurationChange> read(byte[] body) {
        try {
            Map<String, Object> call = StrictJson.object(body);
            Map<ItemVersion, Item> items = new LinkedHashMap<>();
            for (Map.Entry<String, Object> part : call.entrySet()) {
                switch (part.getKey()) {
                    case "upsert" -> upsert(object("upsert", part.getValue()), items);
                    case "withdraw" -> withdraw(object("withdraw", part.getValue()), items);
                    default -> throw new ContentFields.Bad("\"" + part.getKey() + "\" is unknown");
                }
            }
            return Either.right(new ConfigurationChange(items.values()));
        } catch (IOException | ContentFields.Bad e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        }
    }

    private static void upsert(Map<String, Object> tables, Map<ItemVersion, Item> items) throws ContentFields.Bad {
        for (Map.Entry<String, Object> entry : tables.entrySet()) {
            String place = "upsert." + entry.getKey();
            ItemType table = ItemType.of(entry.getKey());
            if (table == null) {
                throw new ContentFields.Bad(place + " is no known table");
            }
            Map<String, Object> content = object(place, entry.getValue());
            if (table == ItemType.LIMITS) {
                if (!content.isEmpty()) {
                    put(place, ItemKey.LIMITS, content, content, items);
                }
                continue;
            }
            for (Map.Entry<String, Object> named : content.entrySet()) {
                String where = place + "." + named.getKey();
                if (named.getKey().isBlank()) {
                    throw new ContentFields.Bad(place + " has an item without a name");
                }
                Map<String, Object> item = object(where, named.getValue());
                put(where, new ItemKey(table, named.getKey()), item, item, items);
            }
        }
    }

    private static void withdraw(Map<String, Object> tables, Map<ItemVersion, Item> items) throws ContentFields.Bad {
        for (Map.Entry<String, Object> entry : tables.entrySet()) {
            String place = "withdraw." + entry.getKey();
            ItemType table = ItemType.of(entry.getKey());
            if (table == null || table == ItemType.LIMITS) {
                throw new ContentFields.Bad(place + " is no table that items are withdrawn from");
            }
            List<?> list =
                    entry.getValue() == null ? List.of() : entry.getValue() instanceof List<?> given ? given : null;
            if (list == null) {
                throw new ContentFields.Bad(place + " must be a list");
            }
            for (int i = 0; i < list.size(); i++) {
                String where = place + "[" + i + "]";
                Map<String, Object> named = object(where, list.get(i));
                String name = new ContentFields(where, named).text("name");
                put(where, new ItemKey(table, name), named, null, items);
            }
        }
    }

    private static void put(
            String place,
            ItemKey key,
            Map<String, Object> named,
            Map<String, Object> content,
            Map<ItemVersion, Item> items)
            throws ContentFields.Bad {
        ContentFields fields = new ContentFields(place, named);
        String version = fields.text("configVersion");
        if (!VERSION.matcher(version).matches()) {
            throw fields.bad("configVersion", "must be r and a number");
        }
        Item item = new Item(key, Long.parseLong(version.substring(1)), content);
        Item other = items.putIfAbsent(new ItemVersion(key, item.version()), item);
        if (other != null && !other.says(item)) {
            throw new ContentFields.Bad(place + ": " + key + " is ordered twice in one call, at one version");
        }
    }

    private static Map<String, Object> object(String place, Object value) throws ContentFields.Bad {
        if (value == null) {
            return Map.of();
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new ContentFields.Bad(place + " must be an object");
        }
        Map<String, Object> object = new LinkedHashMap<>();
        map.forEach((name, each) -> object.put((String) name, each));
        return Collections.unmodifiableMap(object);
    }

    /**
     * What changes if this is taken on top of what stands; an empty list where all of it was taken already.
     * Of each name the highest version holds. A lower one that was never used is taken and superseded in one
     * step: it comes into force nowhere, and has one content from then on. What is new, passed or not, must
     * be valid together with what stands; what was taken once is acknowledged, whatever stands now.
     */
    public Either<Rejection, List<Item>> against(Configuration standing) {
        Map<ItemKey, Item> changes = new LinkedHashMap<>();
        Map<ItemKey, Item> highest = new LinkedHashMap<>();
        Map<ItemKey, Item> passed = new LinkedHashMap<>();
        List<Item> unused = new ArrayList<>();
        Rejection forgotten = null;
        for (Item item : items) {
            Item stands = changes.getOrDefault(item.key(), standing.get(item.key()));
            switch (stands == null ? Item.Use.UNUSED : stands.use(item)) {
                case TAKEN_WITH_ANOTHER_CONTENT -> {
                    return Either.left(
                            Rejection.conflict(item.key() + " r" + item.version() + " was taken with another content"));
                }
                case FORGOTTEN -> forgotten = Rejection.forgotten(
                        item.key() + " r" + item.version() + " is so old that nothing is known of it any more");
                case UNUSED -> {
                    unused.add(item);
                    boolean lower = stands != null && item.version() < stands.version();
                    changes.put(item.key(), lower ? stands.past(item) : stands == null ? item : item.after(stands));
                    (lower ? passed : highest).put(item.key(), item);
                }
                default -> {}
            }
        }
        Configuration next = standing.with(changes.values());
        Rejection refusal = ConfigurationValidator.wrongAlone(unused);
        if (refusal == null) {
            refusal = ConfigurationValidator.wrong(next, highest.values());
        }
        if (refusal == null) {
            refusal = ConfigurationValidator.wrong(next.with(passed.values()), passed.values());
        }
        if (refusal == null) {
            refusal = forgotten;
        }
        return refusal == null ? Either.right(List.copyOf(changes.values())) : Either.left(refusal);
    }
}
