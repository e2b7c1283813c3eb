/**
 * Coordination among peers without a controller, shared by both products. Its packages are membership, leases and their
 * UDP transport.
 */
package org.cypressweir.fleet;
