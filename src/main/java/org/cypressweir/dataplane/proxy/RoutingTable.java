package org.cypressweir.dataplane.proxy;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import org.cypressweir.controlplane.configuration.ClientLimits;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.Rollout;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.ServiceConfiguration;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * One version of the configuration, indexed for the look-ups that each request needs. Immutable; a newer version gets a
 * table of its own, which reuses the parsed form of items that haven't changed.
 */
final class RoutingTable {

    private final ProposalNumber version;
    private final Configuration configuration;
    /** By host, then by path prefix. */
    private final Map<String, Map<String, RouteConfiguration>> routes = new HashMap<>();

    private final Map<String, TenantConfiguration> tenantsByKey = new HashMap<>();
    private final Map<String, ServiceConfiguration> services = new HashMap<>();
    private final Map<Item, Object> parsedItems = new IdentityHashMap<>();
    private final ClientLimits limits;
    private final boolean requiresKeys;

    /** @param parsedBefore the parsed form of the previous table's items, by identity of the item */
    private RoutingTable(ProposalNumber version, Configuration configuration, Map<Item, Object> parsedBefore) {
        this.version = version;
        this.configuration = configuration;
        ClientLimits configuredLimits = ClientLimits.DEFAULTS;
        boolean hasTenantTable = false;
        for (Item item : configuration.items()) {
            hasTenantTable |= item.key().type() == ItemType.TENANTS;
            if (item.withdrawn()) {
                continue;
            }
            Object before = parsedBefore.get(item);
            Object parsed = before == null ? parse(item) : before;
            parsedItems.put(item, parsed);
            if (parsed instanceof ClientLimits itemLimits) {
                configuredLimits = itemLimits;
            } else {
                index(parsed);
            }
        }
        limits = configuredLimits;
        requiresKeys = hasTenantTable;
    }

    /** The item's typed form, or the rejection that says why it can't be parsed. */
    private static Object parse(Item item) {
        return (switch (item.key().type()) {
                    case ROUTES -> RouteConfiguration.of(item);
                    case TENANTS -> TenantConfiguration.of(item);
                    case SERVICES -> ServiceConfiguration.of(item);
                    case LIMITS -> ClientLimits.of(item);
                    case ROLLOUTS -> Rollout.of(item);
                })
                .fold(rejection -> rejection, parsed -> parsed);
    }

    private void index(Object parsed) {
        if (parsed instanceof RouteConfiguration route) {
            routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
        } else if (parsed instanceof TenantConfiguration tenant) {
            tenant.apiKeys().forEach(key -> tenantsByKey.put(key, tenant));
        } else if (parsed instanceof ServiceConfiguration service) {
            services.put(service.name(), service);
        }
    }

    /** Makes the table of a later version. */
    RoutingTable next(ProposalNumber nextVersion, Configuration nextConfiguration) {
        return new RoutingTable(nextVersion, nextConfiguration, parsedItems);
    }

    /** The table before any configuration is known. */
    static RoutingTable empty() {
        return new RoutingTable(ProposalNumber.ZERO, Configuration.EMPTY, Map.of());
    }

    ProposalNumber version() {
        return version;
    }

    Configuration configuration() {
        return configuration;
    }

    boolean isEmpty() {
        return configuration.items().isEmpty();
    }

    /** The route with the longest prefix of the path; null for none. */
    RouteConfiguration route(String host, String path) {
        Map<String, RouteConfiguration> byPrefix = routes.get(host);
        if (byPrefix == null) {
            return null;
        }
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteConfiguration route = byPrefix.get(path.substring(0, slash + 1));
            if (route != null) {
                return route;
            }
        }
        return null;
    }

    /**
     * Whether requests need an API key: they do as soon as the configuration has ever had a tenant. A withdrawn tenant
     * counts, since an emptied table of tenants locks its clients out and opens nothing.
     */
    boolean requiresKeys() {
        return requiresKeys;
    }

    /** The tenant of an API key; null for none. */
    TenantConfiguration tenantByKey(String key) {
        return key == null ? null : tenantsByKey.get(key);
    }

    /** The maximum number of connections to one instance of the service; 0 if none is configured. */
    int maxConnections(String service) {
        ServiceConfiguration configured = services.get(service);
        return configured == null ? 0 : configured.maxConnections();
    }

    ClientLimits limits() {
        return limits;
    }
}
