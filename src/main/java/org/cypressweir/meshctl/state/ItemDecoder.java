package org.cypressweir.meshctl.state;

import java.util.List;

/** Decodes the items of a configuration. The names of fields are fixed, since processes may run different builds. */
final class ItemDecoder {

    private static final String TYPE = "table";
    private static final String PUBLIC_ACCESS = "open";
    private static final String IDEMPOTENT = "repeatable";
    private static final String MAX_ATTEMPTS = "attempts";
    private static final String TARGET_LATENCY_MILLIS = "aimMs";
    private static final String DESTINATIONS = "services";

    private ItemDecoder() {}

    static List<Item> decodeAll(List<JsonObject> items) {
        return items.stream().map(ItemDecoder::decode).toList();
    }

    private static Item decode(JsonObject item) {
        return new Item(item.get(TYPE), item.get("name"), item.get("version"), item.get("withdrawn"), routeTerms(item));
    }

    private static RouteTerms routeTerms(JsonObject item) {
        return new RouteTerms(
                item.get("host"),
                item.get("prefix"),
                item.get(PUBLIC_ACCESS),
                item.get(IDEMPOTENT),
                item.get("priority"),
                item.get(MAX_ATTEMPTS),
                item.get(TARGET_LATENCY_MILLIS),
                item.get("timeoutMs"),
                item.objects(DESTINATIONS).stream()
                        .map(ItemDecoder::destination)
                        .toList());
    }

    private static RouteTerms.Destination destination(JsonObject destination) {
        return new RouteTerms.Destination(destination.get("service"), destination.get("weight"));
    }
}
