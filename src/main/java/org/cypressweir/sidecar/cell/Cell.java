package org.cypressweir.sidecar.cell;

/**
 * One part of a pool's servers, with a decision module of its own.
 *
 * @param share its part of the servers, as a weight beside the others; above 0
 * @param reserved whether it takes only units that are assigned or moved to it
 */
public record Cell(String name, double share, boolean reserved) {}
