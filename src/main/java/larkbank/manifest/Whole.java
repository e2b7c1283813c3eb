package larkbank.manifest;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.List;

/** Whether a manifest that was valid as a whole still is, after items of it have changed. */
final class Whole {

    private Whole() {}

    /** The first thing that is wrong with an item by itself, or null. */
    static Refusal wrongAlone(Collection<Item> changed) {
        for (Item item : changed) {
            if (!item.withdrawn()) {
                Either<Refusal, ?> terms =
                        switch (item.key().table()) {
                            case ROUTES -> RouteTerms.of(item);
                            case TENANTS -> TenantTerms.of(item);
                            case SERVICES -> ServiceTerms.of(item);
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
    static Refusal wrong(Manifest all, Collection<Item> changed) {
        for (Item item : changed) {
            Refusal refusal =
                    item.withdrawn() ? unused(all, item) : item.key().table() == Table.ROUTES ? route(all, item) : null;
            if (refusal != null) {
                return refusal;
            }
        }
        return tenants(all, changed);
    }

    private static Refusal route(Manifest all, Item route) {
        for (String service : RouteTerms.services(route.content())) {
            if (all.standing(new Key(Table.SERVICES, service)) == null) {
                return unknown(route, service);
            }
        }
        List<String> place = Claims.place(route);
        Key holder = all.holder(place);
        return holder.equals(route.key())
                ? null
                : Refusal.invalid(route.key() + " and " + holder + " share " + place.get(1) + place.get(2));
    }

    /** A service goes only if no route names it. This alone looks at all routes. */
    private static Refusal unused(Manifest all, Item withdrawn) {
        if (withdrawn.key().table() == Table.SERVICES) {
            for (Item route : all.standing(Table.ROUTES)) {
                if (RouteTerms.services(route.content())
                        .contains(withdrawn.key().name())) {
                    return unknown(route, withdrawn.key().name());
                }
            }
        }
        return null;
    }

    private static Refusal unknown(Item route, String service) {
        return Refusal.invalid(route.key() + " names service " + service + ", which is unknown");
    }

    private static Refusal tenants(Manifest all, Collection<Item> changed) {
        for (Item item : changed) {
            if (item.key().table() == Table.TENANTS) {
                for (Object claim : Claims.of(item)) {
                    Key holder = all.holder(claim);
                    if (!item.key().equals(holder)) {
                        return Refusal.invalid(item.key() + " and " + holder + " hold the same apiKey");
                    }
                }
            }
        }
        return null;
    }
}
