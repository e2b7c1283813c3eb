package org.cypressweir.sidecar.route;

import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;

/**
 * The pool that a route's requests are sent to, and how they are handled.
 *
 * @param requestClass index into the request classes of the settings
 * @param timeoutMicros time-out of the whole request; a shorter time-out of the client takes precedence
 * @param webSocket limits of its WebSocket connections; null if the route allows none
 */
public record Target(
        String pool, int requestClass, long timeoutMicros, RequestPolicy terms, WebSocketLimits webSocket) {}
