/**
 * One register for the whole manifest, agreed by ballots among durable copies: no log, no leader. Decisions
 * only: no I/O, no clock.
 */
package org.cypressweir.controlplane.consensus;
