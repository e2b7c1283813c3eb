package org.cypressweir.sidecar.route;

import java.util.Set;

/**
 * How a WebSocket connection is resumed at another server.
 *
 * @param subprotocols subprotocols whose connections can be resumed, as agreed on in the handshake
 * @param header name of a header to add to the new handshake beside the headers of the first; null for none
 * @param value of that header
 * @param firstMessage whether the client's first message is sent again to the new server
 */
public record Resume(Set<String> subprotocols, String header, String value, boolean firstMessage) {}
