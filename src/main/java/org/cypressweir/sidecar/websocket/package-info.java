/**
 * WebSocket connections through the sidecar (RFC 6455): handshake, frames, tunnels and their accounting.
 */
package org.cypressweir.sidecar.websocket;
