package org.cypressweir.sidecar.cell;

/** The state of one cell: its health, the load that each unit puts on it, and its requests in flight. */
final class CellState {

    /** A unit floods its cell only if its share of the load is at least this multiple of its usual share. */
    static final double SURGE_FACTOR = 1.5;

    private static final int COUNTERS = 64;
    private static final long RECENT_HALF_LIFE_MICROS = 5_000_000;
    private static final long BASELINE_HALF_LIFE_MICROS = 300_000_000;
    /** Load enters the baseline after this time at the earliest, and only if the cell has stayed healthy. */
    private static final long BASELINE_LAG_MICROS = 10_000_000;

    final CellHealth health = new CellHealth();
    final HeavyUnits recentLoad = new HeavyUnits(COUNTERS, RECENT_HALF_LIFE_MICROS);
    final HeavyUnits baselineLoad = new HeavyUnits(COUNTERS, BASELINE_HALF_LIFE_MICROS);
    /** Load of the present period, which is not yet part of the baseline. */
    HeavyUnits currentPeriodLoad = new HeavyUnits(COUNTERS, BASELINE_HALF_LIFE_MICROS);

    /** Load of the period before, which enters the baseline when the present one ends. */
    HeavyUnits previousPeriodLoad = new HeavyUnits(COUNTERS, BASELINE_HALF_LIFE_MICROS);

    long periodStartedAt;
    int spilloverInFlight;
    int inFlight;

    /**
     * Updates the baseline. Load enters it with a delay and is discarded while the cell is unhealthy, so that a surge
     * is not yet part of the baseline by the time that it makes the cell unhealthy.
     */
    void updateBaseline(long now) {
        if (health.isUnhealthy()) {
            currentPeriodLoad = new HeavyUnits(COUNTERS, BASELINE_HALF_LIFE_MICROS);
            previousPeriodLoad = new HeavyUnits(COUNTERS, BASELINE_HALF_LIFE_MICROS);
            periodStartedAt = now;
        } else if (now - periodStartedAt >= BASELINE_LAG_MICROS) {
            baselineLoad.addAll(now, previousPeriodLoad);
            HeavyUnits empty = previousPeriodLoad;
            previousPeriodLoad = currentPeriodLoad;
            currentPeriodLoad = empty;
            periodStartedAt = now;
        }
    }

    /**
     * Whether a unit takes at least this share of the cell's load, and far more than usual. False as long as there is
     * no baseline.
     */
    boolean isFloodedBy(long unit, double share) {
        double recentShare = recentLoad.share(unit);
        return recentShare >= share
                && baselineLoad.heaviest() >= 0
                && recentShare >= SURGE_FACTOR * baselineLoad.share(unit);
    }
}
