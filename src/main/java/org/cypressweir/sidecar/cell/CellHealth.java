package org.cypressweir.sidecar.cell;

import java.util.Arrays;

/**
 * Health of a cell, by the fraction of its requests that were served within their target latency. A cell becomes
 * unhealthy as soon as the fraction is too low, and healthy again only after it has stayed above a higher threshold for
 * a while, so that a cell near either threshold does not flap.
 */
final class CellHealth {

    /** Length of the sliding window, in slots of a second. */
    private static final int SLOTS = 5;

    private static final long SLOT_MICROS = 1_000_000;
    /** Below this fraction in time a cell becomes unhealthy. */
    private static final double UNHEALTHY_FRACTION = 0.5;

    /** From this fraction in time on a cell may become healthy. */
    private static final double HEALTHY_FRACTION = 0.8;
    /** Fewer responses in the window do not make a cell unhealthy. */
    private static final int MIN_RESPONSES = 20;

    /**
     * Fewer responses in the window do not keep a cell unhealthy. Lower than for a healthy cell, since most requests of
     * an unhealthy one spill over to others.
     */
    private static final int MIN_RESPONSES_WHILE_UNHEALTHY = 3;
    /** How long the fraction must stay high enough before the cell is healthy; too few responses count as high. */
    static final long RECOVERY_MICROS = 10_000_000;

    private final int[] responses = new int[SLOTS];
    private final int[] responsesInTime = new int[SLOTS];
    private long currentSlot = -1;
    private boolean unhealthy;
    private long unhealthySince;
    private long recoveringSince = -1;

    /** Records a request that has ended; in time means served within the target latency of its class. */
    void recordResponse(long now, boolean inTime) {
        advanceWindow(now);
        int i = (int) (currentSlot % SLOTS);
        responses[i]++;
        responsesInTime[i] += inTime ? 1 : 0;
    }

    /** Evaluates the window; true if the health has changed. To be called at least once a second. */
    boolean evaluate(long now) {
        advanceWindow(now);
        int count = Arrays.stream(responses).sum();
        double fractionInTime = count == 0 ? 1 : Arrays.stream(responsesInTime).sum() / (double) count;
        if (!unhealthy) {
            if (count >= MIN_RESPONSES && fractionInTime < UNHEALTHY_FRACTION) {
                unhealthy = true;
                unhealthySince = now;
                recoveringSince = -1;
                return true;
            }
            return false;
        }
        if (count >= MIN_RESPONSES_WHILE_UNHEALTHY && fractionInTime < HEALTHY_FRACTION) {
            recoveringSince = -1;
        } else if (recoveringSince < 0) {
            recoveringSince = now;
        } else if (now - recoveringSince >= RECOVERY_MICROS) {
            unhealthy = false;
            return true;
        }
        return false;
    }

    boolean isUnhealthy() {
        return unhealthy;
    }

    /** When the cell last became unhealthy. */
    long unhealthySince() {
        return unhealthySince;
    }

    private void advanceWindow(long now) {
        long nextSlot = now / SLOT_MICROS;
        if (currentSlot < 0 || nextSlot - currentSlot >= SLOTS) {
            Arrays.fill(responses, 0);
            Arrays.fill(responsesInTime, 0);
        } else {
            for (long s = currentSlot + 1; s <= nextSlot; s++) {
                responses[(int) (s % SLOTS)] = 0;
                responsesInTime[(int) (s % SLOTS)] = 0;
            }
        }
        currentSlot = Math.max(currentSlot, nextSlot);
    }
}
