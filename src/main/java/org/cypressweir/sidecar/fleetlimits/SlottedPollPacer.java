package org.cypressweir.sidecar.fleetlimits;

/**
 * Schedules the calls of this instance for the server list: one in its own slot of each round. A round is as long as
 * all instances need at the allowed rate, and the slot follows from rank and clock alone. So calls are evenly spread at
 * any time: instances that restart together, lose discovery together or learn of a change together do not call
 * together, and apart from clock differences they never exceed the rate.
 */
public final class SlottedPollPacer {

    private final FleetLimits limits;
    private long lastRound = -1;

    /** @param limits with a rate of calls above 0 */
    public SlottedPollPacer(FleetLimits limits) {
        if (limits.pollIntervalMicros() == 0) {
            throw new IllegalArgumentException("list rate must be above 0");
        }
        this.limits = limits;
    }

    /**
     * Returns the time of the next call, at or after now, and marks its slot as used. No slot is used twice, even if
     * the clock steps back or a call comes late.
     */
    public long next(long nowMicros) {
        long roundMicros = limits.pollIntervalMicros();
        long slotOffset = (long) (roundMicros * (limits.rank() + 0.5) / limits.instances());
        long round = Math.floorDiv(nowMicros - slotOffset + roundMicros - 1, roundMicros);
        lastRound = Math.max(round, lastRound + 1);
        return lastRound * roundMicros + slotOffset;
    }

    /** Time-out of a call: half a round, at least 1 s and at most 5 s. */
    public long timeoutMicros() {
        return Math.max(1_000_000, Math.min(5_000_000, limits.pollIntervalMicros() / 2));
    }
}
