package org.cypressweir.sidecar.route;

import java.util.Set;

/**
 * How a WebSocket connection goes on at another server.
 *
 * @param subprotocols that can be resumed, as agreed on in the handshake
 * @param header its name, which the other handshake has beside the first one's headers; null for none
 * @param value of that header
 * @param firstMessage whether the client's first message is repeated to the other server
 */
public record Resume(Set<String> subprotocols, String header, String value, boolean firstMessage) {}
