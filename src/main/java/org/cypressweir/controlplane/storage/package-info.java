/**
 * The durable state of a replica: what a Paxos acceptor must not forget. {@code XodusStore} writes it to disk,
 * detects incomplete writes and lost files, and quarantines damaged ones. All calls block; each store is used by one
 * thread of its own.
 */
package org.cypressweir.controlplane.storage;
