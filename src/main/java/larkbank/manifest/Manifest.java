package larkbank.manifest;

import io.vavr.collection.TreeMap;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** All items, withdrawn ones too. Immutable, and cheap to make another of. */
public final class Manifest {

    public static final Manifest EMPTY = new Manifest(TreeMap.empty(), Claims.NONE);

    private final TreeMap<Key, Item> all;
    private final Claims claims;
    /** Of the prints of all items; null as long as nobody has asked. */
    private Long sum;

    private Manifest(TreeMap<Key, Item> all, Claims claims) {
        this.all = all;
        this.claims = claims;
    }

    public static Manifest of(Collection<Item> items) {
        return EMPTY.with(items);
    }

    /** The item, withdrawn or not, or null. */
    public Item get(Key key) {
        return all.get(key).getOrNull();
    }

    /** The item where it is there and not withdrawn, or null. */
    public Item standing(Key key) {
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
    public List<Item> standing(Table table) {
        return all.values()
                .filter(i -> i.key().table() == table && !i.withdrawn())
                .toJavaList();
    }

    /** This with those items in place of what stands under their keys. */
    public Manifest with(Collection<Item> items) {
        TreeMap<Key, Item> next = all;
        Claims claimed = claims;
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
        Manifest made = new Manifest(next, claimed);
        if (sum != null) {
            made.sum = sum;
            Set<Key> keys = new HashSet<>();
            items.forEach(item -> keys.add(item.key()));
            for (Key key : keys) {
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
    Key holder(Object claim) {
        return claims.holder(claim);
    }

    /** What stands, as it was sent. */
    public Map<String, Object> layout() {
        Map<String, Object> layout = new LinkedHashMap<>();
        for (Table table : List.of(Table.ROUTES, Table.TENANTS, Table.SERVICES)) {
            Map<String, Object> named = new LinkedHashMap<>();
            standing(table).forEach(i -> named.put(i.key().name(), i.content()));
            layout.put(table.wire(), named);
        }
        Item limits = standing(Key.LIMITS);
        layout.put(Table.LIMITS.wire(), limits == null ? Map.of() : limits.content());
        return layout;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Manifest m && items().equals(m.items());
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
