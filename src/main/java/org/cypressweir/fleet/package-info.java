/**
 * Coordination among peers without a controller, used by both products: membership, leases, and their UDP transport.
 */
package org.cypressweir.fleet;
