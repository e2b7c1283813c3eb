package org.cypressweir.sidecar.fleetlimits;

/**
 * When this instance may ask for the list while its part of all calls follows the living: no sooner after its
 * last call than its part of the rate allows now. So in any stretch of time all together ask as often as the
 * rate says and once each at most. Without fixed numbers there are no slots; the first call comes at a time
 * drawn from the first round, and so calls stay spread.
 */
public final class SharedPollPacer {

    private static final long LEAST_PATIENCE = 1_000_000;
    private static final long MOST_PATIENCE = 5_000_000;

    private final double listRate;
    private final double phase;
    private boolean begun;
    private long calledAt;
    /** Told and not yet come, or come and used up. */
    private long dueAt = Long.MAX_VALUE;

    private double part = 1;

    /**
     * @param listRate calls a second by all, above 0
     * @param phase 0 to 1, drawn anew by each instance
     */
    public SharedPollPacer(double listRate, double phase) {
        this.listRate = listRate;
        this.phase = phase;
    }

    private long every() {
        return Math.max(1, (long) (1e6 / (listRate * part)));
    }

    /** The time of the next call, which counts as made once it has come; until then it may be told anew. */
    public long next(long nowMicros, double partNow) {
        if (dueAt <= nowMicros) {
            calledAt = dueAt;
        }
        part = partNow;
        if (!begun) {
            begun = true;
            calledAt = nowMicros - (long) (phase * every());
        }
        dueAt = Math.max(nowMicros, calledAt + every());
        return dueAt;
    }

    /** How long a call may take before it counts as failed. */
    public long patienceMicros() {
        return Math.max(LEAST_PATIENCE, Math.min(MOST_PATIENCE, every() / 2));
    }
}
