package org.cypressweir.sidecar.route;

/**
 * What a client is told whose WebSocket connection is closed because its server or the sidecar goes.
 *
 * @param code of the close frame (RFC 6455, section 7.4): 1001, 1012, 1013, or 4000 to 4999
 * @param reason at most 123 bytes of UTF-8, such as a hint to come back that clients understand
 */
public record TunnelCloseNotice(int code, String reason) {}
