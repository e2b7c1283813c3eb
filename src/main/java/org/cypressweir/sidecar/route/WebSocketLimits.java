package org.cypressweir.sidecar.route;

/**
 * Limits and time-outs of a route's WebSocket connections; times in microseconds, 0 for none.
 *
 * @param maxFrame largest payload of a frame, in bytes
 * @param maxMessage largest message, in bytes as sent (still compressed)
 * @param idleTimeoutMicros time without a data frame in either direction until the connection is closed
 * @param pingIntervalMicros interval between pings to each side
 * @param pongTimeoutMicros time from a ping without a pong until its side is considered lost
 * @param maxLifeMicros maximum age of a connection
 * @param drainTimeoutMicros time from the start of a server's drain until its remaining connections are closed
 * @param reconnectsPerSecond connections per second that a server can accept from draining servers
 * @param closeNotice how a connection is closed if its server or the sidecar shuts down
 * @param bounds limits on their number
 * @param resume how a connection is resumed at another server; null if it can't be
 */
public record WebSocketLimits(
        long maxFrame,
        long maxMessage,
        long idleTimeoutMicros,
        long pingIntervalMicros,
        long pongTimeoutMicros,
        long maxLifeMicros,
        long drainTimeoutMicros,
        long reconnectsPerSecond,
        TunnelCloseNotice closeNotice,
        TunnelBounds bounds,
        Resume resume) {}
