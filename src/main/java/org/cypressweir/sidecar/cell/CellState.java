package org.cypressweir.sidecar.cell;

/** What is known of one cell: its health, what its units take of it, and what is in hand there. */
final class CellState {

    /** How much more of its cell a unit must take than it did in the long run to count as flooding it. */
    static final double SURGE = 1.5;

    private static final int COUNTERS = 64;
    private static final long SHORT = 5_000_000;
    private static final long LONG = 300_000_000;
    /** What was taken counts as usual only this much later, if the cell was not sick by then. */
    private static final long USUAL_LAG = 10_000_000;

    final CellHealth health = new CellHealth();
    final HeavyUnits lately = new HeavyUnits(COUNTERS, SHORT);
    final HeavyUnits usually = new HeavyUnits(COUNTERS, LONG);
    /** What may become usual: of the last while, and of the one before. */
    HeavyUnits filling = new HeavyUnits(COUNTERS, LONG);

    HeavyUnits waiting = new HeavyUnits(COUNTERS, LONG);
    long turnedAt;
    int guests;
    int inFlight;

    /** A surge must not have become usual by the time that it makes the cell sick. */
    void turn(long now) {
        if (health.sick()) {
            filling = new HeavyUnits(COUNTERS, LONG);
            waiting = new HeavyUnits(COUNTERS, LONG);
            turnedAt = now;
        } else if (now - turnedAt >= USUAL_LAG) {
            usually.addAll(now, waiting);
            HeavyUnits empty = waiting;
            waiting = filling;
            filling = empty;
            turnedAt = now;
        }
    }

    /**
     * Whether a unit takes so much of it, and far more than it usually does; never where that is
     * unknown.
     */
    boolean floods(long unit, double share) {
        double now = lately.share(unit);
        return now >= share && usually.heaviest() >= 0 && now >= SURGE * usually.share(unit);
    }
}
