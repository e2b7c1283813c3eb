package org.cypressweir.simulation;

/**
 * Parameters of one {@link CellsSimulation}.
 *
 * @param servers 2 or more
 * @param sidecars 1 or more
 * @param units units that send requests, 1 or more
 * @param skew exponent of the Zipf distribution of requests over units
 * @param load load of the servers before the harm, as a fraction of their capacity; above 0
 * @param cells number of cells; 1 for one pool without cells
 * @param guests share of a cell reserved for requests from unhealthy cells, 0 to 0.5
 * @param quarantine whether 5% of the servers are reserved for units that flood
 * @param harm disturbance that starts after a third of the run
 * @param size size of the harm: traffic that one unit adds as a fraction of all traffic, or fraction of the servers
 *     that turn slow
 * @param seconds length of the whole run, 3 or more
 */
public record Scenario(
        int servers,
        int sidecars,
        int units,
        double skew,
        double load,
        int cells,
        double guests,
        boolean quarantine,
        Harm harm,
        double size,
        int seconds,
        long seed) {

    /** Disturbance that starts after a third of the run and lasts to its end. */
    public enum Harm {
        /** No disturbance. */
        NONE,
        /** One unit sends far more requests, like a client that retries without limit. */
        FLOOD,
        /** A release makes servers eight times slower, cell by cell where there are cells. */
        RELEASE,
        /** The most popular unit moves to another cell. */
        MOVE,
        /** As {@link #MOVE}, with the unit's writes held until those at the old cell have ended. */
        FENCED_MOVE,
        /** As {@link #MOVE}, with the unit's writes refused by all sidecars for the time of the freeze. */
        FROZEN_MOVE
    }

    public Scenario {
        if (servers < 2 || sidecars < 1 || units < 1 || cells < 1 || cells > servers || !(load > 0) || seconds < 3) {
            throw new IllegalArgumentException("out of range: " + servers + " servers, " + sidecars
                    + " sidecars, " + units + " units, " + cells + " cells, load " + load + ", "
                    + seconds + " s");
        }
    }
}
