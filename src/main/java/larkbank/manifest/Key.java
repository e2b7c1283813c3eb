package larkbank.manifest;

/** Names one item. The limits are one item with an empty name. */
public record Key(Table table, String name) implements Comparable<Key> {

    public static final Key LIMITS = new Key(Table.LIMITS, "");

    @Override
    public int compareTo(Key other) {
        int byTable = table.compareTo(other.table);
        return byTable != 0 ? byTable : name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return table == Table.LIMITS ? table.wire() : table.wire() + "." + name;
    }
}
