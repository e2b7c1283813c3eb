package org.cypressweir.controlplane.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A value that only one item of a valid configuration may have. */
sealed interface UniqueKey {

    /** The host and the path prefix that a route matches. */
    record HostAndPath(String host, String prefix) implements UniqueKey {

        @Override
        public String toString() {
            return host + prefix;
        }
    }

    /** A key that identifies a tenant's requests; the value has any type where the tenant was not validated yet. */
    record ApiKey(Object value) implements UniqueKey {}

    /** The unique keys of an item, validated or not. */
    static List<UniqueKey> of(Item item) {
        List<UniqueKey> keys = new ArrayList<>();
        if (item.withdrawn()) {
            return keys;
        }
        if (item.key().type() == ItemType.ROUTES) {
            keys.add(ofRoute(item));
        } else if (item.key().type() == ItemType.TENANTS && item.content().get("apiKeys") instanceof List<?> values) {
            values.forEach(value -> keys.add(new ApiKey(value)));
        }
        return keys;
    }

    static HostAndPath ofRoute(Item route) {
        String host = String.valueOf(route.content().get("hostname")).toLowerCase(Locale.ROOT);
        String prefix = String.valueOf(route.content().get("pathPrefix"));
        return new HostAndPath(host, prefix);
    }
}
