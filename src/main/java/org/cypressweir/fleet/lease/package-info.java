/**
 * Leases for fleet-wide tasks: a process holds a lease while a quorum of grantors has granted it. The classes contain
 * the protocol only: no I/O, no threads, no clocks.
 */
package org.cypressweir.fleet.lease;
