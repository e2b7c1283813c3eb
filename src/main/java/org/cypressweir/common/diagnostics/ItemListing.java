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

/** Items as operators are told of them: names and versions, and where routes lead. Keys are never told. */
public final class ItemListing {

    private ItemListing() {}

    /** All items, withdrawn ones too. */
    public static List<Object> of(Configuration manifest) {
        List<Object> all = new ArrayList<>();
        manifest.items().forEach(item -> all.add(line(item)));
        return all;
    }

    private static Map<String, Object> line(Item item) {
        Map<String, Object> line = JsonCodec.map(
                "table",
                item.key().type().wireName(),
                "name",
                item.key().name(),
                "version",
                "r" + item.version(),
                "withdrawn",
                item.withdrawn());
        if (item.key().type() == ItemType.ROUTES && !item.withdrawn()) {
            RouteConfiguration.of(item).forEach(route -> line.putAll(terms(route)));
        }
        return line;
    }

    private static Map<String, Object> terms(RouteConfiguration route) {
        List<Object> services = new ArrayList<>();
        for (WeightedDestination split : route.destinations()) {
            services.add(JsonCodec.map("service", split.service(), "weight", split.weight()));
        }
        return JsonCodec.map(
                "host",
                route.host(),
                "prefix",
                route.prefix(),
                "repeatable",
                route.idempotent(),
                "open",
                route.publicAccess(),
                "priority",
                route.priority(),
                "attempts",
                route.maxAttempts(),
                "aimMs",
                route.targetLatencyMicros() / 1000,
                "timeoutMs",
                route.timeoutMicros() / 1000,
                "services",
                services);
    }
}
