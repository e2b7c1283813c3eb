package org.cypressweir.dataplane.http.server;

/**
 * What a client may ask of a gangway: bytes of a head and of a body, the time for a head and between two
 * pieces of a body, and the time a connection may go without a request.
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headerMillis, long idleMillis) {}
