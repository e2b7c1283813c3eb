/**
 * Membership, shares, endpoint lists and leases of one process over one UDP socket: the socket, the codecs of the
 * messages, and the answers to operators. Confined to one event loop.
 */
package org.cypressweir.fleet.transport;
