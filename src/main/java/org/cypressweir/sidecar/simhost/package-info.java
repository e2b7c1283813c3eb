/**
 * Host program of the simulator: runs the sidecar's decisions on events that it reads from standard input.
 */
package org.cypressweir.sidecar.simhost;
