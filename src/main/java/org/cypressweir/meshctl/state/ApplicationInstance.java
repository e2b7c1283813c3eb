package org.cypressweir.meshctl.state;

/**
 * An application instance that a process reports.
 *
 * @param proxy the name of the proxy beside it
 * @param server the name of the instance
 * @param shuttingDown whether its proxy is shutting down gracefully
 * @param connected whether there is a connection to its proxy
 * @param unresponsive whether its proxy does not respond to forwarded requests
 * @param selected whether the process selects it for requests
 * @param ageMillis time since its proxy sent something
 */
public record ApplicationInstance(
        JsonValue proxy,
        JsonValue zone,
        JsonValue service,
        JsonValue server,
        JsonValue slots,
        JsonValue draining,
        JsonValue shuttingDown,
        JsonValue connected,
        JsonValue unresponsive,
        JsonValue selected,
        JsonValue ageMillis) {}
