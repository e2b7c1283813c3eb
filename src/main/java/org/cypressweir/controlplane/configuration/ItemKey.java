package org.cypressweir.controlplane.configuration;

/** Names one item. The limits are one item with an empty name. */
public record ItemKey(ItemType table, String name) implements Comparable<ItemKey> {

    public static final ItemKey LIMITS = new ItemKey(ItemType.LIMITS, "");

    @Override
    public int compareTo(ItemKey other) {
        int byTable = table.compareTo(other.table);
        return byTable != 0 ? byTable : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return table == ItemType.LIMITS ? table.wire() : table.wire() + "." + name;
    }
}
