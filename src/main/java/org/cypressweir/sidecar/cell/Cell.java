package org.cypressweir.sidecar.cell;

/**
 * An isolated group of a pool's servers, with a load balancer of its own.
 *
 * @param share weight by which the cell gets its share of the servers; above 0
 * @param reserved whether the cell serves only units that are assigned or moved to it
 */
public record Cell(String name, double share, boolean reserved) {}
