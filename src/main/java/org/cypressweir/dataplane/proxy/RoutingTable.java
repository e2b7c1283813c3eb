package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.cypressweir.controlplane.configuration.ClientLimits;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.ServiceConfiguration;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/** The configuration in force at one pilot, made for look-ups; another one takes its place as a whole. */
final class RoutingTable {

    private final ProposalNumber stamp;
    private final Configuration manifest;
    /** By host, then by prefix. */
    private final Map<String, Map<String, RouteConfiguration>> routes = new HashMap<>();

    private final Map<String, TenantConfiguration> keys = new HashMap<>();
    private final Map<String, ServiceConfiguration> services = new HashMap<>();
    private final Map<Item, Object> terms = new IdentityHashMap<>();
    private final ClientLimits limits;
    private final boolean keyed;

    /** What is the same item as before is not read again. */
    private RoutingTable(ProposalNumber stamp, Configuration manifest, Map<Item, Object> read) {
        this.stamp = stamp;
        this.manifest = manifest;
        ClientLimits its = ClientLimits.DEFAULTS;
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
        keyed = terms.keySet().stream().anyMatch(item -> item.key().type() == ItemType.TENANTS);
    }

    private static Object terms(Item item) {
        return (switch (item.key().type()) {
                    case ROUTES -> RouteConfiguration.of(item);
                    case TENANTS -> TenantConfiguration.of(item);
                    case SERVICES -> ServiceConfiguration.of(item);
                    case LIMITS -> ClientLimits.of(item);
                })
                .fold(refusal -> refusal, its -> its);
    }

    private void add(Object one) {
        if (one instanceof RouteConfiguration route) {
            routes.computeIfAbsent(route.host(), h -> new HashMap<>()).put(route.prefix(), route);
        } else if (one instanceof TenantConfiguration tenant) {
            tenant.apiKeys().forEach(key -> keys.put(key, tenant));
        } else if (one instanceof ServiceConfiguration service) {
            services.put(service.name(), service);
        }
    }

    /** Those of a later state. */
    RoutingTable next(ProposalNumber its, Configuration items) {
        return new RoutingTable(its, items, terms);
    }

    static RoutingTable none() {
        return new RoutingTable(ProposalNumber.ZERO, Configuration.EMPTY, Map.of());
    }

    ProposalNumber stamp() {
        return stamp;
    }

    Configuration manifest() {
        return manifest;
    }

    /** The route with the longest prefix that begins the path; null for none. */
    RouteConfiguration route(String host, String path) {
        Map<String, RouteConfiguration> its = routes.get(host);
        if (its == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteConfiguration route = its.get(path.substring(0, slash + 1));
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

    TenantConfiguration tenant(String key) {
        return key == null ? null : keys.get(key);
    }

    int connections(String service) {
        ServiceConfiguration terms = services.get(service);
        return terms == null ? 0 : terms.maxConnections();
    }

    ClientLimits limits() {
        return limits;
    }
}
