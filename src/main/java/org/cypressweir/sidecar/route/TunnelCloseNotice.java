package org.cypressweir.sidecar.route;

/**
 * The close code and reason sent to a client if its server or the sidecar shuts down.
 *
 * @param code of the close frame (RFC 6455, section 7.4): 1001, 1012, 1013, or 4000 to 4999
 * @param reason at most 123 bytes of UTF-8, such as a hint to reconnect that clients understand
 */
public record TunnelCloseNotice(int code, String reason) {}
