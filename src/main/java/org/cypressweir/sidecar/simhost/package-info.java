/**
 * Adapter for the simulator: runs the sidecar's load balancer on events read from standard input.
 */
package org.cypressweir.sidecar.simhost;
