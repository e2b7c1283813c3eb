package org.cypressweir.sidecar.cell;

import java.util.Arrays;

/**
 * Whether a cell is sick: too few of its requests were answered within their aim. Sick at once when it shows,
 * well again only after a while above a higher mark, so that a cell that hovers at either mark does not flap.
 */
final class CellHealth {

    /** Looked back on; a slot is a second. */
    private static final int SLOTS = 5;

    private static final long SLOT = 1_000_000;
    /** Part in time below which it is sick, and from which it may be well. */
    private static final double SICK = 0.5;

    private static final double WELL = 0.8;
    /**
     * Fewer answers don't make it sick; most of what is asked of a sick one goes elsewhere, so fewer keep
     * it.
     */
    private static final int LEAST = 20;

    private static final int LEAST_SICK = 3;
    /** How long it must look well; a look that has nothing to go by counts as well. */
    static final long WELL_MICROS = 10_000_000;

    private final int[] all = new int[SLOTS];
    private final int[] good = new int[SLOTS];
    private long slot = -1;
    private boolean sick;
    private long sickAt;
    private long wellSince = -1;

    /** A request has ended; in time means served within the aim of its class. */
    void told(long now, boolean inTime) {
        turn(now);
        int i = (int) (slot % SLOTS);
        all[i]++;
        good[i] += inTime ? 1 : 0;
    }

    /** Looks again; true where it has become sick or well. To be called once a second or oftener. */
    boolean look(long now) {
        turn(now);
        int n = Arrays.stream(all).sum();
        double part = n == 0 ? 1 : Arrays.stream(good).sum() / (double) n;
        if (!sick) {
            if (n >= LEAST && part < SICK) {
                sick = true;
                sickAt = now;
                wellSince = -1;
                return true;
            }
            return false;
        }
        if (n >= LEAST_SICK && part < WELL) {
            wellSince = -1;
        } else if (wellSince < 0) {
            wellSince = now;
        } else if (now - wellSince >= WELL_MICROS) {
            sick = false;
            return true;
        }
        return false;
    }

    boolean sick() {
        return sick;
    }

    /** When it became sick last. */
    long sickAt() {
        return sickAt;
    }

    private void turn(long now) {
        long next = now / SLOT;
        if (slot < 0 || next - slot >= SLOTS) {
            Arrays.fill(all, 0);
            Arrays.fill(good, 0);
        } else {
            for (long s = slot + 1; s <= next; s++) {
                all[(int) (s % SLOTS)] = 0;
                good[(int) (s % SLOTS)] = 0;
            }
        }
        slot = Math.max(slot, next);
    }
}
