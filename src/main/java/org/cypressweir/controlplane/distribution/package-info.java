/** News on the way to the data plane: a log of changes from a place on, and snapshots to start from. */
package org.cypressweir.controlplane.distribution;
