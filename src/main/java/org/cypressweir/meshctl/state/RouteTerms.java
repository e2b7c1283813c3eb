package org.cypressweir.meshctl.state;

import java.util.List;

/** The fields of a route as a process lists them. */
public record RouteTerms(
        JsonValue host,
        JsonValue prefix,
        JsonValue publicAccess,
        JsonValue idempotent,
        JsonValue priority,
        JsonValue maxAttempts,
        JsonValue targetLatencyMillis,
        JsonValue timeoutMillis,
        List<Destination> destinations) {

    /** A service that a route leads to. */
    public record Destination(JsonValue service, JsonValue weight) {}

    /** The only service that the route leads to, or several with their weights. */
    public String describeDestinations() {
        if (destinations.size() == 1) {
            return destinations.get(0).service().display();
        }
        return String.join(
                ",",
                destinations.stream()
                        .map(destination -> destination.service().display() + "="
                                + destination.weight().display())
                        .toList());
    }
}
