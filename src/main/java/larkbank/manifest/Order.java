package larkbank.manifest;

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
public final class Order {

    private static final Pattern VERSION = Pattern.compile("r\\d{1,18}");

    private record ItemVersion(Key key, long version) {}

    /** Of one name the lower versions come first. */
    private final List<Item> items;

    private Order(Collection<Item> items) {
        Map<Key, List<Item>> named = new LinkedHashMap<>();
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
    public static Either<Refusal, Order> read(byte[] body) {
        try {
            Map<String, Object> call = JsonText.object(body);
            Map<ItemVersion, Item> items = new LinkedHashMap<>();
            for (Map.Entry<String, Object> part : call.entrySet()) {
                switch (part.getKey()) {
                    case "upsert" -> upsert(object("upsert", part.getValue()), items);
                    case "withdraw" -> withdraw(object("withdraw", part.getValue()), items);
                    default -> throw new Fields.Bad("\"" + part.getKey() + "\" is unknown");
                }
            }
            return Either.right(new Order(items.values()));
        } catch (IOException | Fields.Bad e) {
            return Either.left(Refusal.invalid(e.getMessage()));
        }
    }

    private static void upsert(Map<String, Object> tables, Map<ItemVersion, Item> items) throws Fields.Bad {
        for (Map.Entry<String, Object> entry : tables.entrySet()) {
            String place = "upsert." + entry.getKey();
            Table table = Table.of(entry.getKey());
            if (table == null) {
                throw new Fields.Bad(place + " is no known table");
            }
            Map<String, Object> content = object(place, entry.getValue());
            if (table == Table.LIMITS) {
                if (!content.isEmpty()) {
                    put(place, Key.LIMITS, content, content, items);
                }
                continue;
            }
            for (Map.Entry<String, Object> named : content.entrySet()) {
                String where = place + "." + named.getKey();
                if (named.getKey().isBlank()) {
                    throw new Fields.Bad(place + " has an item without a name");
                }
                Map<String, Object> item = object(where, named.getValue());
                put(where, new Key(table, named.getKey()), item, item, items);
            }
        }
    }

    private static void withdraw(Map<String, Object> tables, Map<ItemVersion, Item> items) throws Fields.Bad {
        for (Map.Entry<String, Object> entry : tables.entrySet()) {
            String place = "withdraw." + entry.getKey();
            Table table = Table.of(entry.getKey());
            if (table == null || table == Table.LIMITS) {
                throw new Fields.Bad(place + " is no table that items are withdrawn from");
            }
            List<?> list =
                    entry.getValue() == null ? List.of() : entry.getValue() instanceof List<?> given ? given : null;
            if (list == null) {
                throw new Fields.Bad(place + " must be a list");
            }
            for (int i = 0; i < list.size(); i++) {
                String where = place + "[" + i + "]";
                Map<String, Object> named = object(where, list.get(i));
                String name = new Fields(where, named).text("name");
                put(where, new Key(table, name), named, null, items);
            }
        }
    }

    private static void put(
            String place, Key key, Map<String, Object> named, Map<String, Object> content, Map<ItemVersion, Item> items)
            throws Fields.Bad {
        Fields fields = new Fields(place, named);
        String version = fields.text("configVersion");
        if (!VERSION.matcher(version).matches()) {
            throw fields.bad("configVersion", "must be r and a number");
        }
        Item item = new Item(key, Long.parseLong(version.substring(1)), content);
        Item other = items.putIfAbsent(new ItemVersion(key, item.version()), item);
        if (other != null && !other.says(item)) {
            throw new Fields.Bad(place + ": " + key + " is ordered twice in one call, at one version");
        }
    }

    private static Map<String, Object> object(String place, Object value) throws Fields.Bad {
        if (value == null) {
            return Map.of();
        }
        if (!(value instanceof Map<?, ?> map)) {
            throw new Fields.Bad(place + " must be an object");
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
    public Either<Refusal, List<Item>> against(Manifest standing) {
        Map<Key, Item> changes = new LinkedHashMap<>();
        Map<Key, Item> highest = new LinkedHashMap<>();
        Map<Key, Item> passed = new LinkedHashMap<>();
        List<Item> unused = new ArrayList<>();
        Refusal forgotten = null;
        for (Item item : items) {
            Item stands = changes.getOrDefault(item.key(), standing.get(item.key()));
            switch (stands == null ? Item.Use.UNUSED : stands.use(item)) {
                case TAKEN_WITH_ANOTHER_CONTENT -> {
                    return Either.left(
                            Refusal.conflict(item.key() + " r" + item.version() + " was taken with another content"));
                }
                case FORGOTTEN -> forgotten = Refusal.forgotten(
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
        Manifest next = standing.with(changes.values());
        Refusal refusal = Whole.wrongAlone(unused);
        if (refusal == null) {
            refusal = Whole.wrong(next, highest.values());
        }
        if (refusal == null) {
            refusal = Whole.wrong(next.with(passed.values()), passed.values());
        }
        if (refusal == null) {
            refusal = forgotten;
        }
        return refusal == null ? Either.right(List.copyOf(changes.values())) : Either.left(refusal);
    }
}
