package org.cypressweir.sidecar.fleetlimits;

/** A token bucket for this instance's share of the probes that servers may get. Times are in microseconds. */
public final class ProbeBudget {

    /** Capacity of the bucket: as many probes as a single decision may need at once. */
    static final double CAPACITY = 3;

    private final FleetLimits limits;
    private double tokens;
    private double lastRate = Double.POSITIVE_INFINITY;
    private long refilledAt = Long.MIN_VALUE;

    public ProbeBudget(FleetLimits limits) {
        this.limits = limits;
    }

    /** Takes a token for a probe; false if there is none and the probe must not be sent. */
    public boolean trySpend(long nowMicros, int servers) {
        return trySpend(nowMicros, limits.probesPerSecond(servers));
    }

    /** The same with the share of the total that this instance has now. */
    public boolean trySpend(long nowMicros, int servers, double share) {
        return trySpend(nowMicros, limits.probesPerSecond(servers, share));
    }

    private boolean trySpend(long nowMicros, double rate) {
        if (Double.isInfinite(rate)) {
            return true;
        }
        if (refilledAt == Long.MIN_VALUE) {
            // The bucket starts empty: instances that start together must not all send a burst.
            refilledAt = nowMicros;
        }
        // It is unknown when the rate changed since the last call, so the lower rate counts for the whole time.
        tokens = Math.min(CAPACITY, tokens + Math.max(0, nowMicros - refilledAt) * Math.min(rate, lastRate) / 1e6);
        lastRate = rate;
        refilledAt = Math.max(refilledAt, nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
