package org.cypressweir.meshctl.state;

/**
 * A proxy that another one forwards requests to.
 *
 * @param connected whether there is a connection to it
 * @param down whether the connection was refused or lost
 * @param ageMillis time since it sent something
 */
public record ProxyPeer(JsonValue address, JsonValue connected, JsonValue down, JsonValue ageMillis) {}
