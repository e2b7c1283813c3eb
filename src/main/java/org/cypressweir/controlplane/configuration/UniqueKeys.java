package org.cypressweir.controlplane.configuration;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * What only one item may hold, a route's place and a tenant's keys, and who holds it: kept beside the items,
 * so that a change is checked at its own cost. Immutable.
 */
final class UniqueKeys {

    static final UniqueKeys NONE = new UniqueKeys(HashMap.empty());

    private final HashMap<Object, ItemKey> holders;

    private UniqueKeys(HashMap<Object, ItemKey> holders) {
        this.holders = holders;
    }

    /** What an item claims, checked or not. */
    static List<Object> of(Item item) {
        List<Object> claims = new ArrayList<>();
        if (item.withdrawn()) {
            return claims;
        }
        if (item.key().table() == ItemType.ROUTES) {
            claims.add(place(item));
        } else if (item.key().table() == ItemType.TENANTS && item.content().get("apiKeys") instanceof List<?> keys) {
            keys.forEach(key -> claims.add(Arrays.asList("key", key)));
        }
        return claims;
    }

    static List<String> place(Item route) {
        return List.of(
                "place",
                String.valueOf(route.content().get("hostname")).toLowerCase(Locale.ROOT),
                String.valueOf(route.content().get("pathPrefix")));
    }

    /** Who holds it: of several, the one that came first. */
    ItemKey holder(Object claim) {
        return holders.get(claim).getOrNull();
    }

    UniqueKeys without(Item item) {
        HashMap<Object, ItemKey> next = holders;
        for (Object claim : of(item)) {
            if (item.key().equals(holder(claim))) {
                next = next.remove(claim);
            }
        }
        return new UniqueKeys(next);
    }

    UniqueKeys with(Item item) {
        HashMap<Object, ItemKey> next = holders;
        for (Object claim : of(item)) {
            if (!next.containsKey(claim)) {
                next = next.put(claim, item.key());
            }
        }
        return new UniqueKeys(next);
    }
}
