package org.cypressweir.meshctl.state;

/**
 * A proxy that is registered at a controller.
 *
 * @param instance the application instance beside the proxy
 */
public record Registration(ReportedProcess process, ApplicationInstance instance) {}
