package org.cypressweir.sidecar.route;

import java.util.List;
import org.cypressweir.sidecar.cell.CellsConfiguration;

/**
 * What a pool is made of: one decision module and its connections.
 *
 * @param servers null where discovery tells them
 * @param maxConnections to all its servers together, at most
 * @param maxRequests in hand, at most
 * @param maxQueued of them without a server, at most
 * @param tunnels connections that have gone over to another protocol
 * @param cells how it is parted into cells, with a module each; null for one module
 */
public record PoolConfiguration(
        String name,
        List<StaticServer> servers,
        int maxConnections,
        int maxRequests,
        int maxQueued,
        TunnelLimits tunnels,
        CellsConfiguration cells) {

    /**
     * Limits on long-lived connections that were upgraded to another protocol.
     *
     * @param maxOpen most open connections to all its servers together
     * @param maxOpenPerServer most connections to one of them; {@link Integer#MAX_VALUE} for no limit
     * @param newPerSecond new connections per second that each server accepts
     */
    public record TunnelLimits(int maxOpen, int maxOpenPerServer, int newPerSecond) {}

    /** The configuration of one cell, with its part of the limits. */
    public PoolConfiguration forCell(int cell) {
        return new PoolConfiguration(
                name + "/" + cells.cells().get(cell).name(),
                servers,
                cells.shareOf(cell, maxConnections),
                cells.shareOf(cell, maxRequests),
                cells.shareOf(cell, maxQueued),
                new TunnelLimits(
                        cells.shareOf(cell, tunnels.maxOpen()), tunnels.maxOpenPerServer(), tunnels.newPerSecond()),
                null);
    }

    /** Whether discovery provides its servers. */
    public boolean discovered() {
        return servers == null;
    }
}
