package org.cypressweir.dataplane.http.server;

/**
 * The limits of an {@link HttpListener}'s requests and connections.
 *
 * @param maxHeaderBytes largest request line and header section together
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis the time for a head, and between two parts of a body
 * @param idleTimeoutMillis how long a connection may have no request
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
