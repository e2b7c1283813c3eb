package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What a route says. */
public record RouteConfiguration(
        String name,
        String host,
        String prefix,
        boolean repeatable,
        long timeoutMicros,
        long aimMicros,
        int priority,
        List<WeightedDestination> splits,
        int maxAttempts,
        boolean open) {

    public static Either<Rejection, RouteConfiguration> of(Item item) {
        try {
            return Either.right(
                    read(item.key().name(), new ContentFields(item.key().toString(), item.content())));
        } catch (ContentFields.Bad e) {
            return Either.left(Rejection.invalid(e.getMessage()));
        }
    }

    private static RouteConfiguration read(String name, ContentFields fields) throws ContentFields.Bad {
        String host = fields.text("hostname");
        if (host.chars().anyMatch(c -> c <= ' ' || c == '/')) {
            throw fields.bad("hostname", "must be a name of a host");
        }
        String prefix = fields.text("pathPrefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw fields.bad("pathPrefix", "must begin and end with a slash");
        }
        boolean repeatable =
                switch (fields.text("routeType")) {
                    case "idempotent" -> true;
                    case "non_idempotent" -> false;
                    default -> throw fields.bad("routeType", "must be idempotent or non_idempotent");
                };
        return new RouteConfiguration(
                name,
                host.toLowerCase(Locale.ROOT),
                prefix,
                repeatable,
                fields.time("timeout"),
                fields.time("targetLatency"),
                (int) fields.whole("priority", Integer.MIN_VALUE, Integer.MAX_VALUE),
                splits(fields),
                (int) fields.whole("maxAttempts", 1, Integer.MAX_VALUE),
                fields.flag("publicAccess", false));
    }

    private static List<WeightedDestination> splits(ContentFields fields) throws ContentFields.Bad {
        if (!fields.has("weightedSplit")) {
            return List.of(new WeightedDestination(fields.text("service"), 1));
        }
        if (fields.has("service")) {
            throw fields.bad("service", "must not be there beside weightedSplit");
        }
        List<WeightedDestination> splits = new ArrayList<>();
        double sum = 0;
        for (Object entry : fields.list("weightedSplit")) {
            if (!(entry instanceof Map<?, ?> map)) {
                throw fields.bad("weightedSplit", "must hold objects");
            }
            ContentFields each = fields.within("weightedSplit[" + splits.size() + "]", map);
            WeightedDestination split = new WeightedDestination(each.text("service"), each.amount("weight"));
            splits.add(split);
            sum += split.weight();
        }
        if (!(sum > 0)) {
            throw fields.bad("weightedSplit", "must have a weight above 0");
        }
        return List.copyOf(splits);
    }

    /** The names of the services of a route that has been checked before. */
    static List<String> services(Map<String, Object> content) {
        List<String> services = new ArrayList<>();
        if (content.get("service") instanceof String service) {
            services.add(service);
        }
        if (content.get("weightedSplit") instanceof List<?> list) {
            for (Object entry : list) {
                if (entry instanceof Map<?, ?> map && map.get("service") instanceof String service) {
                    services.add(service);
                }
            }
        }
        return services;
    }
}
