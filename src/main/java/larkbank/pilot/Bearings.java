package larkbank.pilot;

import java.util.HashMap;
import java.util.Map;
import larkbank.copies.Stamp;
import larkbank.manifest.ClientLimits;
import larkbank.manifest.Item;
import larkbank.manifest.Key;
import larkbank.manifest.Manifest;
import larkbank.manifest.RouteTerms;
import larkbank.manifest.ServiceTerms;
import larkbank.manifest.Table;
import larkbank.manifest.TenantTerms;

/** The configuration in force at one pilot, made for look-ups; another one takes its place as a whole. */
final class Bearings {

    private final Stamp stamp;
    private final Manifest manifest;
    /** By host, then by prefix. */
    private final Map<String, Map<String, RouteTerms>> routes = new HashMap<>();
    private final Map<String, TenantTerms> keys = new HashMap<>();
    private final Map<String, ServiceTerms> services = new HashMap<>();
    private final ClientLimits limits;
    private final boolean keyed;

    Bearings(Stamp stamp, Manifest manifest) {
        this.stamp = stamp;
        this.manifest = manifest;
        for (Item item : manifest.standing(Table.ROUTES)) {
            RouteTerms.of(item).forEach(route -> routes.computeIfAbsent(route.host(), h -> new HashMap<>())
                    .put(route.prefix(), route));
        }
        for (Item item : manifest.standing(Table.TENANTS)) {
            TenantTerms.of(item).forEach(tenant -> tenant.keys().forEach(key -> keys.put(key, tenant)));
        }
        for (Item item : manifest.standing(Table.SERVICES)) {
            ServiceTerms.of(item).forEach(service -> services.put(service.name(), service));
        }
        keyed = !manifest.standing(Table.TENANTS).isEmpty();
        Item its = manifest.get(new Key(Table.LIMITS, ""));
        limits = its == null || its.content() == null ? ClientLimits.USUAL
                : ClientLimits.of(its).getOrElse(ClientLimits.USUAL);
    }

    static Bearings none() {
        return new Bearings(Stamp.ZERO, Manifest.EMPTY);
    }

    Stamp stamp() {
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
