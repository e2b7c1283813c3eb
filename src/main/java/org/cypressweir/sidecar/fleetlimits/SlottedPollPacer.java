package org.cypressweir.sidecar.fleetlimits;

/**
 * When this instance may ask for the list: once in its own slot of each round. A round is as long as all
 * instances need at the allowed rate, and slots follow from rank and clock alone. So calls are spread evenly
 * whatever happened: instances that restart together, lose discovery together or hear of a change together do
 * not ask together, and in no stretch of time do they ask oftener than the rate says, but for the
 * differences of their clocks.
 */
public final class SlottedPollPacer {

    private final FleetLimits plan;
    private long lastRound = -1;

    /** @param plan with a rate of calls above 0 */
    public SlottedPollPacer(FleetLimits plan) {
        if (plan.askEveryMicros() == 0) {
            throw new IllegalArgumentException("there is no rate to keep");
        }
        this.plan = plan;
    }

    /**
     * The time of the next call, at or after now; the slot counts as used from then on. After a step back of
     * the clock, or a call that came late, no slot is used twice.
     */
    public long next(long nowMicros) {
        long every = plan.askEveryMicros();
        long slot = (long) (every * (plan.rank() + 0.5) / plan.instances());
        long round = Math.floorDiv(nowMicros - slot + every - 1, every);
        lastRound = Math.max(round, lastRound + 1);
        return lastRound * every + slot;
    }

    /** How long a call may take before it counts as failed: half a round, at least 1 s and at most 5 s. */
    public long patienceMicros() {
        return Math.max(1_000_000, Math.min(5_000_000, plan.askEveryMicros() / 2));
    }
}
