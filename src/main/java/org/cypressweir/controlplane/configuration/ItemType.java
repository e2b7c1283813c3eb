package org.cypressweir.controlplane.configuration;

/** The kinds of items, with their names on the wire. */
public enum ItemType {
    ROUTES("routeTable"),
    TENANTS("tenantTable"),
    SERVICES("serviceTable"),
    LIMITS("limits");

    private final String wire;

    ItemType(String wire) {
        this.wire = wire;
    }

    public String wire() {
        return wire;
    }

    /** The table of that name, or null. */
    public static ItemType of(Object wire) {
        for (ItemType table : values()) {
            if (table.wire.equals(wire)) {
                return table;
            }
        }
        return null;
    }
}
