/**
 * Limits on calls, connections and probes that all sidecars of a fleet keep together, and this sidecar's share of them.
 */
package org.cypressweir.sidecar.fleetlimits;
