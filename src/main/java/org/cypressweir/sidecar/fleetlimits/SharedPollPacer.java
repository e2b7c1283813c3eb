package org.cypressweir.sidecar.fleetlimits;

/**
 * Schedules the calls of this instance for the server list if its share of all calls follows from the live instances: a
 * call may follow the last one only after the interval that the present share of the rate allows. In any span of time,
 * all instances together make at most as many calls as the rate allows, plus one each. There are no slots, since ranks
 * are not fixed; the first call comes at a random time within the first interval, which keeps the calls spread.
 */
public final class SharedPollPacer {

    private static final long MIN_TIMEOUT_MICROS = 1_000_000;
    private static final long MAX_TIMEOUT_MICROS = 5_000_000;

    private final double listRate;
    private final double phase;
    private boolean started;
    private long calledAt;
    /** When the call that was scheduled last is due; it counts as made from then on. */
    private long dueAt = Long.MAX_VALUE;

    private double share = 1;

    /**
     * @param listRate calls per second by all instances together, above 0
     * @param phase random number from 0 to 1, different for each instance
     */
    public SharedPollPacer(double listRate, double phase) {
        this.listRate = listRate;
        this.phase = phase;
    }

    private long intervalMicros() {
        return Math.max(1, (long) (1e6 / (listRate * share)));
    }

    /** Schedules the next call. It counts as made once its time has come; until then it can be rescheduled. */
    public long next(long nowMicros, double currentShare) {
        if (dueAt <= nowMicros) {
            calledAt = dueAt;
        }
        share = currentShare;
        if (!started) {
            started = true;
            calledAt = nowMicros - (long) (phase * intervalMicros());
        }
        dueAt = Math.max(nowMicros, calledAt + intervalMicros());
        return dueAt;
    }

    /** Time-out of a call: half the interval, at least 1 s and at most 5 s. */
    public long timeoutMicros() {
        return Math.max(MIN_TIMEOUT_MICROS, Math.min(MAX_TIMEOUT_MICROS, intervalMicros() / 2));
    }
}
