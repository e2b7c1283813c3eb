package org.cypressweir.controlplane.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Which requests a route matches, where it sends them, and how.
 *
 * @param host in lower case
 * @param prefix the prefix of the path, which begins and ends with a slash
 * @param idempotent whether a request may be repeated after an attempt that may have run
 * @param timeoutMicros the deadline of a request
 * @param targetLatencyMicros the latency target of a request
 * @param priority the priority of a request whose tenant has none
 * @param maxAttempts the maximum number of attempts of a request
 * @param publicAccess whether requests need no API key
 */
public record RouteConfiguration(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        long timeoutMicros,
        long targetLatencyMicros,
        int priority,
        List<WeightedDestination> destinations,
        int maxAttempts,
        boolean publicAccess) {

    public static Either<Rejection, RouteConfiguration> of(Item item) {
        ContentFields fields = ContentFields.of(item);
        try {
            return Either.right(read(item.key().name(), fields));
        } catch (InvalidContentException e) {
            return Either.left(Rejection.invalid(e));
        }
    }

    private static RouteConfiguration read(String name, ContentFields fields) throws InvalidContentException {
        return new RouteConfiguration(
                name,
                host(fields),
                prefix(fields),
                idempotent(fields),
                fields.durationMicros("timeout"),
                fields.durationMicros("targetLatency"),
                (int) fields.integer("priority", Integer.MIN_VALUE, Integer.MAX_VALUE),
                destinations(fields),
                (int) fields.integer("maxAttempts", 1, Integer.MAX_VALUE),
                fields.flag("publicAccess", false));
    }

    private static String host(ContentFields fields) throws InvalidContentException {
        String host = fields.text("hostname");
        if (host.chars().anyMatch(character -> character <= ' ' || character == '/')) {
            throw fields.invalid("hostname", "must be a host name");
        }
        return host.toLowerCase(Locale.ROOT);
    }

    private static String prefix(ContentFields fields) throws InvalidContentException {
        String prefix = fields.text("pathPrefix");
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw fields.invalid("pathPrefix", "must begin and end with a slash");
        }
        return prefix;
    }

    private static boolean idempotent(ContentFields fields) throws InvalidContentException {
        return switch (fields.text("routeType")) {
            case "idempotent" -> true;
            case "non_idempotent" -> false;
            default -> throw fields.invalid("routeType", "must be idempotent or non_idempotent");
        };
    }

    private static List<WeightedDestination> destinations(ContentFields fields) throws InvalidContentException {
        if (!fields.has("weightedSplit")) {
            return List.of(new WeightedDestination(fields.text("service"), 1));
        }
        if (fields.has("service")) {
            throw fields.superfluous("service", "must not be there beside weightedSplit");
        }
        List<WeightedDestination> destinations = new ArrayList<>();
        double totalWeight = 0;
        for (Object element : fields.list("weightedSplit")) {
            if (!(element instanceof Map<?, ?> map)) {
                throw fields.invalid("weightedSplit", "must contain objects");
            }
            ContentFields nested = fields.nested("weightedSplit[" + destinations.size() + "]", map);
            WeightedDestination destination =
                    new WeightedDestination(nested.text("service"), nested.nonNegative("weight"));
            destinations.add(destination);
            totalWeight += destination.weight();
        }
        if (!(totalWeight > 0)) {
            throw fields.invalid("weightedSplit", "must contain a weight above 0");
        }
        return List.copyOf(destinations);
    }

    /** The names of the services in the content of a route that was validated before. */
    static List<String> services(Map<String, Object> content) {
        List<String> services = new ArrayList<>();
        if (content.get("service") instanceof String service) {
            services.add(service);
        }
        if (content.get("weightedSplit") instanceof List<?> list) {
            for (Object element : list) {
                if (element instanceof Map<?, ?> map && map.get("service") instanceof String service) {
                    services.add(service);
                }
            }
        }
        return services;
    }
}
