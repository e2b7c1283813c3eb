/** Leases for tasks of the whole fleet, by grace of most keepers. Decisions only: no I/O, no clock. */
package org.cypressweir.fleet.lease;
