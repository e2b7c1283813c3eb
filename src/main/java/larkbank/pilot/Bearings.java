package larkbank.pilot;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import larkbank.copies.Ballot;
import larkbank.manifest.ClientLimits;
import larkbank.manifest.Item;
import larkbank.manifest.Manifest;
import larkbank.manifest.RouteTerms;
import larkbank.manifest.ServiceTerms;
import larkbank.manifest.Table;
import larkbank.manifest.TenantTerms;

/** The configuration in force at one pilot, made for look-ups; another one takes its place as a whole. */
final class Bearings {

    private final Ballot stamp;
    private final Manifest manifest;
    /** By host, then by prefix. */
    private final Map<String, Map<String, RouteTerms>> routes = new HashMap<>();

    private final Map<String, TenantTerms> keys = new HashMap<>();
    private final Map<String, ServiceTerms> services = new HashMap<>();
    private final Map<Item, Object> terms = new IdentityHashMap<>();
    private final ClientLimits limits;
    private final boolean keyed;

    /** What is the same item as before is not read again. */
    private Bearings(Ballot stamp, Manifest manifest, Map<Item, Object> read) {
        this.stamp = stamp;
        this.manifest = manifest;
        ClientLimits its = ClientLimits.USUAL;
        for (Item item : manifest.items()) {
            if (!item.withdrawn()) {
                Object before = read.get(item);
                Object one = before == null ? terms(item) : before;
                terms.put(item, one);
                if (one instanceof ClientLimits told) {
                    its = told;
                } else {
                    add(one);
                }
            }
        }
        limits = its;
        keyed = terms.keySet().stream().anyMatch(item -> item.key().table() == Table.TENANTS);
    }

    private static Object terms(Item item) {
        return (switch (item.key().table()) {
                    case ROUTES -> RouteTerms.of(item);
                    case TENANTS -> TenantTerms.of(item);
                    case SERVICES -> ServiceTerms.of(item);
                    case LIMITS -> ClientLimits.of(item);
                })
                .fold(refusal -> refusal, its -> its);
    }

    private void add(Object one) {
        if (one instanceof RouteTerms route) {
            routes.computeIfAbsent(route.host(), h -> new HashMap<>()).put(route.prefix(), route);
        } else if (one instanceof TenantTerms tenant) {
            tenant.keys().forEach(key -> keys.put(key, tenant));
        } else if (one instanceof ServiceTerms service) {
            services.put(service.name(), service);
        }
    }

    /** Those of a later state. */
    Bearings next(Ballot its, Manifest items) {
        return new Bearings(its, items, terms);
    }

    static Bearings none() {
        return new Bearings(Ballot.ZERO, Manifest.EMPTY, Map.of());
    }

    Ballot stamp() {
        return stamp;
    }

    Manifest manifest() {
        return manifest;
    }

    /** The route with the longest prefix that begins the path; null for none. */
    RouteTerms route(String host, String path) {
        Map<String, RouteTerms> its = routes.get(host);
        if (its == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteTerms route = its.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /** Whether requests need a key at all. */
    boolean keyed() {
        return keyed;
    }

    TenantTerms tenant(String key) {
        return key == null ? null : keys.get(key);
    }

    int connections(String service) {
        ServiceTerms terms = services.get(service);
        return terms == null ? 0 : terms.maxConnections();
    }

    ClientLimits limits() {
        return limits;
    }
}
