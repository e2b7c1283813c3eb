package org.cypressweir.controlplane.configuration;

/** The identity of a configuration item: its type and its name. The limits are one item with an empty name. */
public record ItemKey(ItemType type, String name) implements Comparable<ItemKey> {

    public static final ItemKey LIMITS = new ItemKey(ItemType.LIMITS, "");

    @Override
    public int compareTo(ItemKey other) {
        int byType = type.compareTo(other.type);
        return byType != 0 ? byType : name.compareTo(other.name);
    }

    /** The text for operators, such as {@code routeTable.orders}. Checksums are computed from it, so it is fixed. */
    @Override
    public String toString() {
        return type == ItemType.LIMITS ? type.wireName() : type.wireName() + "." + name;
    }
}
