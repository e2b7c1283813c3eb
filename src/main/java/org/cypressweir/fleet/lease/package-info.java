/**
 * Leases for tasks of the whole fleet: a process holds a lease while a quorum of grantors has granted it. Decisions
 * only: no I/O, no thread, no clock.
 */
package org.cypressweir.fleet.lease;
