package org.cypressweir.dataplane.http.server;

/**
 * The limits of an {@link HttpListener}'s requests and connections.
 *
 * @param maxHeaderBytes the maximum size of request line and header section together
 * @param maxBodyBytes the maximum size of a body
 * @param headerTimeoutMillis the maximum time for a head, and between two parts of a body
 * @param idleTimeoutMillis how long a connection may have no request
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
