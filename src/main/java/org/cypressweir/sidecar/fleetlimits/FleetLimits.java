package org.cypressweir.sidecar.fleetlimits;

/**
 * Limits on what all instances of a sidecar together may demand of discovery and servers. Each instance keeps its own
 * share, so that no coordination is needed while they run.
 *
 * @param instances how many instances share servers and discovery, 1 or more; if shares follow the live instances, the
 *     most that may ever run at once
 * @param rank of this instance among them, 0 to instances - 1
 * @param listRate calls per second for the server list by all instances together; 0 for a watch without a limit
 * @param idlePerServer idle connections that all instances together may keep to one server; {@link Integer#MAX_VALUE}
 *     for no limit
 * @param probeRate probes per second that one server may get from all instances together; 0 for no limit
 * @param followsLiveInstances whether the share of an instance follows from which instances are alive, instead of a
 *     fixed count
 */
public record FleetLimits(
        int instances, int rank, double listRate, int idlePerServer, double probeRate, boolean followsLiveInstances) {

    /** Limits that are shared by a fixed number of instances. */
    public FleetLimits(int instances, int rank, double listRate, int idlePerServer, double probeRate) {
        this(instances, rank, listRate, idlePerServer, probeRate, false);
    }

    /** Added before rounding down, since binary fractions may represent a whole number as slightly less. */
    private static final double ROUNDING = 1e-9;

    public FleetLimits {
        if (instances < 1 || rank < 0 || rank >= instances || listRate < 0 || idlePerServer < 0 || probeRate < 0) {
            throw new IllegalArgumentException("invalid fleet limits: rank " + rank + " of " + instances);
        }
    }

    /** Microseconds between two calls of this instance for the server list; 0 for a watch. */
    public long pollIntervalMicros() {
        return listRate == 0 ? 0 : Math.max(1, (long) (instances / listRate * 1e6));
    }

    /**
     * Idle connections that this instance may keep to all servers together. The remainder of the division goes to the
     * lowest ranks, so that all instances together keep exactly the limit.
     */
    public int maxIdleConnections(int servers) {
        if (idlePerServer == Integer.MAX_VALUE) {
            return Integer.MAX_VALUE;
        }
        long all = (long) idlePerServer * servers;
        return (int) Math.min(Integer.MAX_VALUE, all / instances + (rank < all % instances ? 1 : 0));
    }

    /** The same for a share of the total, 0 to 1. Rounded down, so that all shares together stay within the limit. */
    public int maxIdleConnections(int servers, double share) {
        return idlePerServer == Integer.MAX_VALUE
                ? Integer.MAX_VALUE
                : (int) Math.min(Integer.MAX_VALUE, ROUNDING + share * idlePerServer * servers);
    }

    /** Probes per second to this number of servers that a share of the total allows; infinite for no limit. */
    public double probesPerSecond(int servers, double share) {
        return probeRate == 0 ? Double.POSITIVE_INFINITY : probeRate * servers * share;
    }

    /** Probes per second that this instance may send to all servers together; infinite for no limit. */
    public double probesPerSecond(int servers) {
        return probeRate == 0 ? Double.POSITIVE_INFINITY : probeRate * servers / instances;
    }
}
