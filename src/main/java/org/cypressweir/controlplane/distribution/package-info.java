/**
 * Distribution of configuration and endpoints from controllers to proxies: logs of deltas, and snapshots for
 * subscribers that have fallen behind a log.
 */
package org.cypressweir.controlplane.distribution;
