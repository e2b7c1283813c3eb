package org.cypressweir.sidecar.route;

/**
 * How many WebSocket connections a route may have open.
 *
 * @param route its name
 * @param most all of them together; {@link Integer#MAX_VALUE} for no bound
 * @param perTenant of one tenant; {@link Integer#MAX_VALUE} for no bound
 * @param evictMicros from how long without data one may be closed for another; 0 for never
 */
public record TunnelBounds(String route, int most, int perTenant, long evictMicros) {}
