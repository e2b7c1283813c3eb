package org.cypressweir.controlplane.controller;

/**
 * How one run of a controller is known to others.
 *
 * @param controlAddress where operators ask it
 * @param peerAddress where it takes connections of proxies and other controllers
 * @param incarnation later for each run of the process; microseconds since 1970
 */
record ControllerIdentity(String name, String controlAddress, String peerAddress, long incarnation) {}
