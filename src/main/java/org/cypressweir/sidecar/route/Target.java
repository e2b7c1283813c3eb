package org.cypressweir.sidecar.route;

import org.cypressweir.loadbalancing.LoadBalancer.Terms;

/**
 * Where a route's requests go, and under which terms.
 *
 * @param requestClass its place among the classes of the settings
 * @param timeoutMicros for the whole request; the client's own time holds where it is shorter
 * @param webSocket what holds for its WebSocket connections; null where it has none
 */
public record Target(String pool, int requestClass, long timeoutMicros, Terms terms, WebSocketLimits webSocket) {}
