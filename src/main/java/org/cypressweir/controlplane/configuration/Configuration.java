package org.cypressweir.controlplane.configuration;

import io.vavr.collection.TreeMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All configuration items, withdrawn ones included. Immutable; versions share their structure. */
public final class Configuration {

    public static final Configuration EMPTY = new Configuration(TreeMap.empty(), UniqueKeys.NONE);

    private final TreeMap<ItemKey, Item> itemsByKey;
    private final UniqueKeys uniqueKeys;
    /** The sum of the checksums of all items; computed on first use, null until then. */
    private Long checksum;

    private Configuration(TreeMap<ItemKey, Item> itemsByKey, UniqueKeys uniqueKeys) {
        this.itemsByKey = itemsByKey;
        this.uniqueKeys = uniqueKeys;
    }

    public static Configuration of(Collection<Item> items) {
        return EMPTY.with(items);
    }

    /** The item, withdrawn or not, or null. */
    public Item get(ItemKey key) {
        return itemsByKey.get(key).getOrNull();
    }

    /** The item, or null where there is none or it is withdrawn. */
    public Item active(ItemKey key) {
        Item item = get(key);
        return item == null || item.withdrawn() ? null : item;
    }

    /** All items in the order of their keys, withdrawn ones included. */
    public List<Item> items() {
        return itemsByKey.values().toJavaList();
    }

    public int size() {
        return itemsByKey.size();
    }

    /** The items of a type that are not withdrawn. */
    public List<Item> active(ItemType type) {
        return itemsByKey
                .values()
                .filter(item -> item.key().type() == type && !item.withdrawn())
                .toJavaList();
    }

    /** A copy with these items added, each in place of the item with the same key. */
    public Configuration with(Collection<Item> items) {
        TreeMap<ItemKey, Item> nextItems = itemsByKey;
        UniqueKeys nextKeys = uniqueKeys;
        for (Item item : items) {
            Item replaced = nextItems.get(item.key()).getOrNull();
            nextKeys = replaced == null ? nextKeys : nextKeys.without(replaced);
            nextItems = nextItems.put(item.key(), item);
        }
        // Only after the keys of all replaced items are removed, as a unique key may move between items.
        for (Item item : items) {
            nextKeys = nextItems.get(item.key()).get() == item ? nextKeys.with(item) : nextKeys;
        }
        if (nextItems == itemsByKey) {
            return this;
        }
        Configuration next = new Configuration(nextItems, nextKeys);
        if (checksum != null) {
            next.checksum = checksum + checksumDifference(next, items);
        }
        return next;
    }

    private long checksumDifference(Configuration next, Collection<Item> items) {
        Set<ItemKey> keys = new HashSet<>();
        items.forEach(item -> keys.add(item.key()));
        long change = 0;
        for (ItemKey key : keys) {
            Item replaced = get(key);
            change += next.get(key).checksum() - (replaced == null ? 0 : replaced.checksum());
        }
        return change;
    }

    /**
     * A checksum over all items that does not depend on the order in which they were added. Once it is computed,
     * configurations that are derived from this one update it incrementally.
     */
    public long checksum() {
        if (checksum == null) {
            long total = 0;
            for (Item item : items()) {
                total += item.checksum();
            }
            checksum = total;
        }
        return checksum;
    }

    /** The item that owns a unique key, or null. */
    ItemKey owner(UniqueKey key) {
        return uniqueKeys.owner(key);
    }

    /** The active items in the layout in which operators submit and read them. */
    public Map<String, Object> layout() {
        Map<String, Object> layout = new LinkedHashMap<>();
        for (ItemType type : List.of(ItemType.ROUTES, ItemType.TENANTS, ItemType.SERVICES)) {
            Map<String, Object> contents = new LinkedHashMap<>();
            active(type).forEach(item -> contents.put(item.key().name(), item.content()));
            layout.put(type.wireName(), contents);
        }
        Item limits = active(ItemKey.LIMITS);
        layout.put(ItemType.LIMITS.wireName(), limits == null ? Map.of() : limits.content());
        return layout;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Configuration configuration && items().equals(configuration.items());
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
