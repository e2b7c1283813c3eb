package org.cypressweir.sidecar.fleetlimits;

/** A token bucket for this instance's part of the probes that servers allow. */
public final class ProbeBudget {

    /** Probes that are saved at most: what one decision may want at once. */
    static final double SAVED = 3;

    private final FleetLimits plan;
    private double tokens;
    private double lastRate = Double.POSITIVE_INFINITY;
    private long filledAt = Long.MIN_VALUE;

    public ProbeBudget(FleetLimits plan) {
        this.plan = plan;
    }

    /** Whether a probe may go out now; it is spent then. */
    public boolean spend(long nowMicros, int servers) {
        return spend(nowMicros, plan.probesPerSecond(servers));
    }

    /** The same with this part of the whole at this moment. */
    public boolean spend(long nowMicros, int servers, double part) {
        return spend(nowMicros, plan.probesPerSecond(servers, part));
    }

    private boolean spend(long nowMicros, double rate) {
        if (Double.isInfinite(rate)) {
            return true;
        }
        if (filledAt == Long.MIN_VALUE) {
            // All that begin together must not all begin with what they have saved.
            filledAt = nowMicros;
        }
        // When the rate changed in between is not known: the smaller one is taken for the whole time.
        tokens = Math.min(SAVED, tokens + Math.max(0, nowMicros - filledAt) * Math.min(rate, lastRate) / 1e6);
        lastRate = rate;
        filledAt = Math.max(filledAt, nowMicros);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
