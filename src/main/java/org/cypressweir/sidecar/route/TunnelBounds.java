package org.cypressweir.sidecar.route;

/**
 * Limits on the open WebSocket connections of a route.
 *
 * @param route name of the route
 * @param maxOpen most open connections; {@link Integer#MAX_VALUE} for no limit
 * @param maxOpenPerTenant most open connections of one tenant; {@link Integer#MAX_VALUE} for no limit
 * @param evictMicros time without data after which a connection may be closed to make room for another; 0 for never
 */
public record TunnelBounds(String route, int maxOpen, int maxOpenPerTenant, long evictMicros) {}
