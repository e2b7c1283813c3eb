package larkbank.manifest;

/** The kinds of items, with their names on the wire. */
public enum Table {
    ROUTES("routeTable"),
    TENANTS("tenantTable"),
    SERVICES("serviceTable"),
    LIMITS("limits");

    private final String wire;

    Table(String wire) {
        this.wire = wire;
    }

    public String wire() {
        return wire;
    }

    /** The table of that name, or null. */
    public static Table of(Object wire) {
        for (Table table : values()) {
            if (table.wire.equals(wire)) {
                return table;
            }
        }
        return null;
    }
}
