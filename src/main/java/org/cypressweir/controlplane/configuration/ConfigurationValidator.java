package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;

/** Whether a manifest that was valid as a whole still is, after items of it have changed. */
final class ConfigurationValidator {

    private ConfigurationValidator() {}

    /** The first thing that is wrong with an item by itself, or null. */
    static Rejection wrongAlone(Collection<Item> changed) {
        for (Item item : changed) {
            if (!item.withdrawn()) {
                Either<Rejection, ?> terms =
                        switch (item.key().table()) {
                            case ROUTES -> RouteConfiguration.of(item);
                            case TENANTS -> TenantConfiguration.of(item);
                            case SERVICES -> ServiceConfiguration.of(item);
                            case LIMITS -> ClientLimits.of(item);
                        };
                if (terms.isLeft()) {
                    return terms.getLeft();
                }
            }
        }
        return null;
    }

    /**
     * The first thing that is wrong between items, or null. What has not changed was checked when it came;
     * what has is right by itself.
     */
    static Rejection wrong(Configuration all, Collection<Item> changed) {
        for (Item item : changed) {
            Rejection refusal = item.withdrawn()
                    ? unused(all, item)
                    : item.key().table() == ItemType.ROUTES ? route(all, item) : null;
            if (refusal != null) {
                return refusal;
            }
        }
        return tenants(all, changed);
    }

    private static Rejection route(Configuration all, Item route) {
        for (String service : RouteConfiguration.services(route.content())) {
            if (all.standing(new ItemKey(ItemType.SERVICES, service)) == null) {
                return unknown(route, service);
            }
        }
        List<String> place = UniqueKeys.place(route);
        ItemKey holder = all.holder(place);
        return holder.equals(route.key())
                ? null
                : Rejection.invalid(route.key() + " and " + holder + " share " + place.get(1) + place.get(2));
    }

    /** A service goes only if no route names it. This alone looks at all routes. */
    private static Rejection unused(Configuration all, Item withdrawn) {
        if (withdrawn.key().table() == ItemType.SERVICES) {
            for (Item route : all.standing(ItemType.ROUTES)) {
                if (RouteConfiguration.services(route.content())
                        .contains(withdrawn.key().name())) {
                    return unknown(route, withdrawn.key().name());
                }
            }
        }
        return null;
    }

    private static Rejection unknown(Item route, String service) {
        return Rejection.invalid(route.key() + " names service " + service + ", which is unknown");
    }

    private static Rejection tenants(Configuration all, Collection<Item> changed) {
        for (Item item : changed) {
            if (item.key().table() == ItemType.TENANTS) {
                for (Object claim : UniqueKeys.of(item)) {
                    ItemKey holder = all.holder(claim);
                    if (!item.key().equals(holder)) {
                        return Rejection.invalid(item.key() + " and " + holder + " hold the same apiKey");
                    }
                }
            }
        }
        return null;
    }
}
