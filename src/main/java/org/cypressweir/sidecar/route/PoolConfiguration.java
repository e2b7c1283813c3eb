package org.cypressweir.sidecar.route;

import java.util.List;
import org.cypressweir.sidecar.cell.CellsConfiguration;

/**
 * What a pool is made of: one decision module and its connections.
 *
 * @param servers null where discovery tells them
 * @param connections to all its servers together, at most
 * @param requests in hand, at most
 * @param queue of them without a server, at most
 * @param tunnels connections that have gone over to another protocol
 * @param cells how it is parted into cells, with a module each; null for one module
 */
public record PoolConfiguration(
        String name,
        List<StaticServer> servers,
        int connections,
        int requests,
        int queue,
        Tunnelled tunnels,
        CellsConfiguration cells) {

    /**
     * Limits on long-lived connections that were upgraded to another protocol.
     *
     * @param most most open connections to all its servers together
     * @param perServer most connections to one of them; {@link Integer#MAX_VALUE} for no limit
     * @param rate new connections per second that each server accepts
     */
    public record Tunnelled(int most, int perServer, int rate) {}

    /** The configuration of one cell, with its part of the limits. */
    public PoolConfiguration ofCell(int cell) {
        return new PoolConfiguration(
                name + "/" + cells.cells().get(cell).name(),
                servers,
                cells.part(cell, connections),
                cells.part(cell, requests),
                cells.part(cell, queue),
                new Tunnelled(cells.part(cell, tunnels.most()), tunnels.perServer(), tunnels.rate()),
                null);
    }

    /** Whether discovery provides its servers. */
    public boolean discovered() {
        return servers == null;
    }
}
