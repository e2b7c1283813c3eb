package larkbank.manifest;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Whether a manifest is valid as a whole after items of it have changed. */
final class Whole {

    private Whole() { }

    /** The first thing that is wrong, or null. What has not changed was checked when it came. */
    static Refusal wrong(Manifest all, Collection<Item> changed) {
        for (Item item : changed) {
            if (!item.withdrawn()) {
                Either<Refusal, ?> terms = switch (item.key().table()) {
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
        Refusal routes = routes(all);
        return routes != null ? routes : tenants(all);
    }

    private static Refusal routes(Manifest all) {
        Set<String> services = new HashSet<>();
        all.standing(Table.SERVICES).forEach(i -> services.add(i.key().name()));
        Map<List<String>, Key> places = new HashMap<>();
        for (Item route : all.standing(Table.ROUTES)) {
            for (String service : RouteTerms.services(route.content())) {
                if (!services.contains(service)) {
                    return Refusal.invalid(route.key() + " names service " + service + ", which is unknown");
                }
            }
            String host = String.valueOf(route.content().get("hostname")).toLowerCase(Locale.ROOT);
            String prefix = String.valueOf(route.content().get("pathPrefix"));
            Key other = places.put(List.of(host, prefix), route.key());
            if (other != null) {
                return Refusal.invalid(route.key() + " and " + other + " share " + host + prefix);
            }
        }
        return null;
    }

    private static Refusal tenants(Manifest all) {
        Map<Object, Key> holders = new HashMap<>();
        for (Item tenant : all.standing(Table.TENANTS)) {
            if (tenant.content().get("apiKeys") instanceof List<?> keys) {
                for (Object key : keys) {
                    Key other = holders.put(key, tenant.key());
                    if (other != null && !other.equals(tenant.key())) {
                        return Refusal.invalid(tenant.key() + " and " + other + " hold the same apiKey");
                    }
                }
            }
        }
        return null;
    }
}
