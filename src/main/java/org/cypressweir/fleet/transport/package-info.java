/** The one socket over which sidecars speak to each other, and what stands round the decisions on it. */
package org.cypressweir.fleet.transport;
