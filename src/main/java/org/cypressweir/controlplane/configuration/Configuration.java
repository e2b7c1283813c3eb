package org.cypressweir.controlplane.configuration;

import io.vavr.collection.TreeMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All items, withdrawn ones too. Immutable, and cheap to make another of. */
public final class Configuration {

    public static final Configuration EMPTY = new Configuration(TreeMap.empty(), UniqueKeys.NONE);

    private final TreeMap<ItemKey, Item> all;
    private final UniqueKeys claims;
    /** Of the prints of all items; null as long as nobody has asked. */
    private Long sum;

    private Configuration(TreeMap<ItemKey, Item> all, UniqueKeys claims) {
        this.all = all;
        this.claims = claims;
    }

    public static Configuration of(Collection<Item> items) {
        return EMPTY.with(items);
    }

    /** The item, withdrawn or not, or null. */
    public Item get(ItemKey key) {
        return all.get(key).getOrNull();
    }

    /** The item where it is there and not withdrawn, or null. */
    public Item standing(ItemKey key) {
        Item item = get(key);
        return item == null || item.withdrawn() ? null : item;
    }

    /** Every item in the order of keys, withdrawn ones too. */
    public List<Item> items() {
        return all.values().toJavaList();
    }

    public int size() {
        return all.size();
    }

    /** Items of a table that are not withdrawn. */
    public List<Item> standing(ItemType table) {
        return all.values()
                .filter(i -> i.key().table() == table && !i.withdrawn())
                .toJavaList();
    }

    /** This with those items in place of what stands under their keys. */
    public Configuration with(Collection<Item> items) {
        TreeMap<ItemKey, Item> next = all;
        UniqueKeys claimed = claims;
        for (Item item : items) {
            Item before = next.get(item.key()).getOrNull();
            claimed = before == null ? claimed : claimed.without(before);
            next = next.put(item.key(), item);
        }
        for (Item item : items) {
            claimed = next.get(item.key()).get() == item ? claimed.with(item) : claimed;
        }
        if (next == all) {
            return this;
        }
        Configuration made = new Configuration(next, claimed);
        if (sum != null) {
            made.sum = sum;
            Set<ItemKey> keys = new HashSet<>();
            items.forEach(item -> keys.add(item.key()));
            for (ItemKey key : keys) {
                Item before = get(key);
                made.sum += made.get(key).sumPrint() - (before == null ? 0 : before.sumPrint());
            }
        }
        return made;
    }

    /** The same for the same items only, in whatever order they came. Kept up with each change once asked. */
    public long sum() {
        if (sum == null) {
            long all = 0;
            for (Item item : items()) {
                all += item.sumPrint();
            }
            sum = all;
        }
        return sum;
    }

    /** Who holds what only one item may hold. */
    ItemKey holder(Object claim) {
        return claims.holder(claim);
    }

    /** What stands, as it was sent. */
    public Map<String, Object> layout() {
        Map<String, Object> layout = new LinkedHashMap<>();
        for (ItemType table : List.of(ItemType.ROUTES, ItemType.TENANTS, ItemType.SERVICES)) {
            Map<String, Object> named = new LinkedHashMap<>();
            standing(table).forEach(i -> named.put(i.key().name(), i.content()));
            layout.put(table.wire(), named);
        }
        Item limits = standing(ItemKey.LIMITS);
        layout.put(ItemType.LIMITS.wire(), limits == null ? Map.of() : limits.content());
        return layout;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration m && items().equals(m.items());
    }

    @Override
    public int hashCode() {
        return items().hashCode();
    }

    @Override
    public String toString() {
        return items().toString();
    }
}
