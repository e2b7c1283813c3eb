package org.cypressweir.controlplane.controller;

/**
 * The name, addresses and incarnation of one run of a controller.
 *
 * @param controlAddress where it serves operators
 * @param peerAddress where it accepts connections of proxies and other controllers
 * @param incarnation later for each run of the process; microseconds since 1970
 */
record ControllerIdentity(String name, String controlAddress, String peerAddress, long incarnation) {}
