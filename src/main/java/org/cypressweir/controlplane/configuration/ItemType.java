package org.cypressweir.controlplane.configuration;

/** The kinds of configuration items, in the order in which items are listed. */
public enum ItemType {
    ROUTES("routeTable"),
    TENANTS("tenantTable"),
    SERVICES("serviceTable"),
    LIMITS("limits"),
    /** Rollouts of new versions of services; only the controllers write them. */
    ROLLOUTS("rolloutTable");

    private final String wireName;

    ItemType(String wireName) {
        this.wireName = wireName;
    }

    /** The name in requests, messages and on disk. */
    public String wireName() {
        return wireName;
    }

    /** Whether operators submit items of this type in configuration changes. */
    public boolean isSubmitted() {
        return this != ROLLOUTS;
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
