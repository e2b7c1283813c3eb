package org.cypressweir.controlplane.configuration;

/** The kinds of configuration items, in the order in which items are listed. */
public enum ItemType {
    ROUTES("routeTable"),
    TENANTS("tenantTable"),
    SERVICES("serviceTable"),
    LIMITS("limits");

    private final String wireName;

    ItemType(String wireName) {
        this.wireName = wireName;
    }

    /** The name in requests, messages and on disk. */
    public String wireName() {
        return wireName;
    }

    /** The type of that name, or null. */
    public static ItemType of(Object wireName) {
        for (ItemType type : values()) {
            if (type.wireName.equals(wireName)) {
                return type;
            }
        }
        return null;
    }
}
