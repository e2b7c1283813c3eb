package larkbank.manifest;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/** One call of an operator: items to put and items to withdraw, taken as a whole or not at all. */
public final class Order {

    private static final Pattern VERSION = Pattern.compile("r\\d{1,18}");

    private final List<Item> items;

    private Order(List<Item> items) {
        this.items = List.copyOf(items);
    }

    /** The items as ordered. */
    public List<Item> items() {
        return items;
    }

    /** Reads a call's body. */
    public static Either<Refusal, Order> read(byte[] body) {
        try {
            Map<String, Object> call = JsonText.object(body);
            Map<Key, Item> items = new LinkedHashMap<>();
            for (Map.Entry<String, Object> part : call.entrySet()) {
                switch (part.getKey()) {
                    case "upsert" -> upsert(object("upsert", part.getValue()), items);
                    case "withdraw" -> withdraw(object("withdraw", part.getValue()), items);
                    default -> throw new Fields.Bad("\"" + part.getKey() + "\" is unknown");
                }
            }
            return Either.right(new Order(new ArrayList<>(items.values())));
        } catch (IOException | Fields.Bad e) {
            return Either.left(Refusal.invalid(e.getMessage()));
        }
    }

    private static void upsert(Map<String, Object> tables, Map<Key, Item> items) throws Fields.Bad {
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

    private static void withdraw(Map<String, Object> tables, Map<Key, Item> items) throws Fields.Bad {
        for (Map.Entry<String, Object> entry : tables.entrySet()) {
            String place = "withdraw." + entry.getKey();
            Table table = Table.of(entry.getKey());
            if (table == null || table == Table.LIMITS) {
                throw new Fields.Bad(place + " is no table that items are withdrawn from");
            }
            List<?> list = entry.getValue() == null ? List.of()
                    : entry.getValue() instanceof List<?> given ? given : null;
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

    private static void put(String place, Key key, Map<String, Object> named, Map<String, Object> content,
            Map<Key, Item> items) throws Fields.Bad {
        Fields fields = new Fields(place, named);
        String version = fields.text("configVersion");
        if (!VERSION.matcher(version).matches()) {
            throw fields.bad("configVersion", "must be r and a number");
        }
        Item item = new Item(key, Long.parseLong(version.substring(1)), content);
        Item other = items.get(key);
        if (other != null && other.version() == item.version() && !other.says(item)) {
            throw new Fields.Bad(place + ": " + key + " is ordered twice in one call, at one version");
        }
        // Of one name the highest version holds, within a call as well.
        if (other == null || other.version() < item.version()) {
            items.put(key, item);
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
     * What changes if this is taken on top of what stands; an empty list where all of it stands or stood
     * already. A change that was taken and is superseded is recognised, but only in a call that changes
     * nothing else: a call that is new as a whole must not bring an older version along.
     */
    public Either<Refusal, List<Item>> against(Manifest standing) {
        List<Item> changes = new ArrayList<>();
        Refusal older = null;
        for (Item item : items) {
            Item stands = standing.get(item.key());
            if (stands == null) {
                changes.add(item);
            } else if (item.version() > stands.version()) {
                changes.add(item.after(stands));
            } else if (item.version() == stands.version()) {
                if (!item.says(stands)) {
                    return Either.left(Refusal.conflict(item.key() + " r" + item.version()
                            + " stands with another content"));
                }
            } else {
                Refusal refusal = Refusal.conflict(item.key() + " r" + item.version() + " is older than r"
                        + stands.version() + ", which stands");
                if (!stands.superseded(item)) {
                    return Either.left(refusal);
                }
                older = refusal;
            }
        }
        if (changes.isEmpty()) {
            return Either.right(List.of());
        }
        if (older != null) {
            return Either.left(older);
        }
        Refusal wrong = Whole.wrong(standing.with(changes), changes);
        return wrong == null ? Either.right(List.copyOf(changes)) : Either.left(wrong);
    }
}
