package larkbank.footprint;

/**
 * What all instances of a sidecar together may ask of what they share; each takes its own part, so that
 * nobody has to count them while they run.
 *
 * @param instances that share servers and discovery, 1 or more
 * @param rank of this one among them, 0 to instances - 1
 * @param listRate calls for the list a second by all of them, above 0; 0 for a watch without a bound
 * @param idlePerServer idle connections that all of them may keep to one server; {@link Integer#MAX_VALUE}
 *        for no bound
 * @param probeRate probes a second by all of them that one server may see; 0 for no bound
 */
public record FleetPlan(int instances, int rank, double listRate, int idlePerServer, double probeRate) {

    public FleetPlan {
        if (instances < 1 || rank < 0 || rank >= instances || listRate < 0 || idlePerServer < 0
                || probeRate < 0) {
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

    /** Probes a second that this instance may send to all servers together; infinite for no bound. */
    public double probesPerSecond(int servers) {
        return probeRate == 0 ? Double.POSITIVE_INFINITY : probeRate * servers / instances;
    }
}
