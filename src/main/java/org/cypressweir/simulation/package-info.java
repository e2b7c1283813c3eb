/**
 * Simulated fleets in simulated time: the real decisions run against a network and servers that are models.
 */
package org.cypressweir.simulation;
