package larkbank.logbook;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import larkbank.lading.Scribe;
import larkbank.manifest.Item;
import larkbank.manifest.Manifest;
import larkbank.manifest.RouteTerms;
import larkbank.manifest.Split;
import larkbank.manifest.Table;

/** Items as operators are told of them: names and versions, and where routes lead. Keys are never told. */
public final class Listing {

    private Listing() {}

    /** All items, withdrawn ones too. */
    public static List<Object> of(Manifest manifest) {
        List<Object> all = new ArrayList<>();
        manifest.items().forEach(item -> all.add(line(item)));
        return all;
    }

    private static Map<String, Object> line(Item item) {
        Map<String, Object> line = Scribe.map(
                "table",
                item.key().table().wire(),
                "name",
                item.key().name(),
                "version",
                "r" + item.version(),
                "withdrawn",
                item.withdrawn());
        if (item.key().table() == Table.ROUTES && !item.withdrawn()) {
            RouteTerms.of(item).forEach(route -> line.putAll(terms(route)));
        }
        return line;
    }

    private static Map<String, Object> terms(RouteTerms route) {
        List<Object> services = new ArrayList<>();
        for (Split split : route.splits()) {
            services.add(Scribe.map("service", split.service(), "weight", split.weight()));
        }
        return Scribe.map(
                "host",
                route.host(),
                "prefix",
                route.prefix(),
                "repeatable",
                route.repeatable(),
                "open",
                route.open(),
                "priority",
                route.priority(),
                "attempts",
                route.maxAttempts(),
                "aimMs",
                route.aimMicros() / 1000,
                "timeoutMs",
                route.timeoutMicros() / 1000,
                "services",
                services);
    }
}
