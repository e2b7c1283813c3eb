package org.cypressweir.meshctl.state;

/**
 * A proxy that a controller removed because its heartbeats stopped.
 *
 * @param lostMillis time since it was removed
 */
public record LostProxy(ReportedProcess process, JsonValue lostMillis) {}
