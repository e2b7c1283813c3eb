/**
 * Simulations of whole fleets in simulated time: production code runs against a simulated network and servers.
 */
package org.cypressweir.simulation;
