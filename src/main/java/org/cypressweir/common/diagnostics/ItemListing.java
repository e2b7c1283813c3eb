package org.cypressweir.common.diagnostics;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;

/**
 * Lists the items of a configuration for operators: type, name and version of each, and the fields of routes. The
 * content of other items, such as the keys of tenants, is never listed. The field names are part of the API and fixed.
 */
public final class ItemListing {

    private static final String TYPE_FIELD = "table";
    private static final String IDEMPOTENT_FIELD = "repeatable";
    private static final String LATENCY_TARGET_FIELD = "aimMs";
    private static final String VERSION_PREFIX = "r";
    private static final long MICROS_PER_MILLI = 1_000;

    private ItemListing() {}

    /** One object for each item, withdrawn ones included. */
    public static List<Object> of(Configuration configuration) {
        List<Object> entries = new ArrayList<>();
        configuration.items().forEach(item -> entries.add(entry(item)));
        return entries;
    }

    private static Map<String, Object> entry(Item item) {
        Map<String, Object> entry = JsonCodec.map(
                TYPE_FIELD,
                item.key().type().wireName(),
                "name",
                item.key().name(),
                "version",
                VERSION_PREFIX + item.version(),
                "withdrawn",
                item.withdrawn());
        if (item.key().type() == ItemType.ROUTES && !item.withdrawn()) {
            RouteConfiguration.of(item).forEach(route -> entry.putAll(routeFields(route)));
        }
        return entry;
    }

    private static Map<String, Object> routeFields(RouteConfiguration route) {
        return JsonCodec.map(
                "host",
                route.host(),
                "prefix",
                route.prefix(),
                IDEMPOTENT_FIELD,
                route.idempotent(),
                "open",
                route.publicAccess(),
                "priority",
                route.priority(),
                "attempts",
                route.maxAttempts(),
                LATENCY_TARGET_FIELD,
                route.targetLatencyMicros() / MICROS_PER_MILLI,
                "timeoutMs",
                route.timeoutMicros() / MICROS_PER_MILLI,
                "services",
                destinations(route));
    }

    private static List<Object> destinations(RouteConfiguration route) {
        List<Object> destinations = new ArrayList<>();
        for (WeightedDestination destination : route.destinations()) {
            destinations.add(JsonCodec.map("service", destination.service(), "weight", destination.weight()));
        }
        return destinations;
    }
}
