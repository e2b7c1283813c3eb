package org.cypressweir.sidecar.fleetlimits;

/**
 * What all instances of a sidecar together may ask of what they share; each takes its own part, so that
 * nobody has to count them while they run.
 *
 * @param instances that share servers and discovery, 1 or more; where they follow the living, as many as may
 *        ever run at once
 * @param rank of this one among them, 0 to instances - 1
 * @param listRate calls for the list a second by all of them, above 0; 0 for a watch without a bound
 * @param idlePerServer idle connections that all of them may keep to one server; {@link Integer#MAX_VALUE}
 *        for no bound
 * @param probeRate probes a second by all of them that one server may see; 0 for no bound
 * @param living whether each one's part follows from who lives, and not from a count for ever
 */
public record FleetLimits(
        int instances, int rank, double listRate, int idlePerServer, double probeRate, boolean living) {

    /** Of a fixed count. */
    public FleetLimits(int instances, int rank, double listRate, int idlePerServer, double probeRate) {
        this(instances, rank, listRate, idlePerServer, probeRate, false);
    }

    /** So that a part of a whole number is not rounded down by what binary fractions can not say. */
    private static final double ROUNDING = 1e-9;

    public FleetLimits {
        if (instances < 1 || rank < 0 || rank >= instances || listRate < 0 || idlePerServer < 0 || probeRate < 0) {
            throw new IllegalArgumentException("instance " + rank + " of " + instances);
        }
    }

    /** Microseconds from one call of this instance for the list to its next; 0 for a watch. */
    public long askEveryMicros() {
        return listRate == 0 ? 0 : Math.max(1, (long) (instances / listRate * 1e6));
    }

    /**
     * Idle connections that this instance may keep to all servers together. What does not divide evenly goes
     * to the lowest ranks, so that all together keep what the bound says and no more.
     */
    public int idle(int servers) {
        if (idlePerServer == Integer.MAX_VALUE) {
            return Integer.MAX_VALUE;
        }
        long all = (long) idlePerServer * servers;
        return (int) Math.min(Integer.MAX_VALUE, all / instances + (rank < all % instances ? 1 : 0));
    }

    /** The same with a part of the whole, 0 to 1, rounded down: all parts together keep the bound. */
    public int idle(int servers, double part) {
        return idlePerServer == Integer.MAX_VALUE
                ? Integer.MAX_VALUE
                : (int) Math.min(Integer.MAX_VALUE, ROUNDING + part * idlePerServer * servers);
    }

    /** Probes a second that a part of the whole allows to so many servers; infinite for no bound. */
    public double probesPerSecond(int servers, double part) {
        return probeRate == 0 ? Double.POSITIVE_INFINITY : probeRate * servers * part;
    }

    /** Probes a second that this instance may send to all servers together; infinite for no bound. */
    public double probesPerSecond(int servers) {
        return probeRate == 0 ? Double.POSITIVE_INFINITY : probeRate * servers / instances;
    }
}
