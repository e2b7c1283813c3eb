/**
 * Membership, shares, endpoint lists and leases of one process over one UDP socket: the socket, the message
 * codecs, and the answers to operators' queries. Confined to one event loop.
 */
package org.cypressweir.fleet.transport;
