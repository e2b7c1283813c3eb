package org.cypressweir.meshctl.state;

/**
 * A controller that a process reports.
 *
 * @param reachable whether the reporting process is in contact with it
 */
public record ControllerPeer(ReportedProcess process, JsonValue reachable) {}
