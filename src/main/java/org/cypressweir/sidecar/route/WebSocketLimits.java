package org.cypressweir.sidecar.route;

/**
 * What holds for the WebSocket connections of a route; times in microseconds, 0 for none.
 *
 * @param maxFrame largest payload of a frame, in bytes
 * @param maxMessage largest message, in bytes as they are sent
 * @param idleMicros without a data frame either way
 * @param pingMicros between pings to each side
 * @param pongMicros from a ping until its side counts as gone
 * @param lifeMicros longest life
 * @param drainMicros from when a server is told to leave to the last moment of its connections
 * @param reconnects connections a second that a server can take from others that leave
 * @param closeNotice how one is closed whose server or sidecar goes
 * @param bounds how many there may be
 * @param resume how one goes on at another server; null where it can't
 */
public record WebSocketLimits(
        long maxFrame,
        long maxMessage,
        long idleMicros,
        long pingMicros,
        long pongMicros,
        long lifeMicros,
        long drainMicros,
        long reconnects,
        TunnelCloseNotice closeNotice,
        TunnelBounds bounds,
        Resume resume) {}
