package org.cypressweir.loadbalancing;

import java.util.ArrayDeque;

/**
 * A budget that holds in every window of a given length: at most a floor and a fraction of what was earned in the
 * window may be spent. The tightest window begins with a spending. Of these starts only those are kept that leave less
 * budget than all later ones (a monotonic queue, as for sliding minima), so a check takes amortized constant time
 * however much is spent.
 */
final class SlidingWindowBudget {

    private final long windowMicros;
    private final double floor;
    private final double perEarned;
    /** The starts of windows: time, total earned and total spent before. */
    private final ArrayDeque<long[]> windowStarts = new ArrayDeque<>();

    private long spent;

    /**
     * Creates a budget.
     *
     * @param windowMicros the length of the windows, in microseconds
     * @param floor what may be spent in a window even if nothing was earned
     * @param perEarned the fraction, 0 to 1, of what was earned in a window that may be spent too
     */
    SlidingWindowBudget(long windowMicros, double floor, double perEarned) {
        this.windowMicros = windowMicros;
        this.floor = floor;
        this.perEarned = perEarned;
    }

    /** Whether one more may be spent, given the total earned so far; time must not go back. */
    boolean allows(long now, long earned) {
        while (!windowStarts.isEmpty() && now - windowStarts.peekFirst()[0] > windowMicros) {
            windowStarts.pollFirst();
        }
        long[] first = windowStarts.peekFirst();
        return (first == null ? 1 : 1 + spent - first[2])
                <= floor + (first == null ? 0 : perEarned * (earned - first[1]));
    }

    void spend(long now, long earned) {
        long[] start = {now, earned, spent++};
        while (!windowStarts.isEmpty() && netSpent(windowStarts.peekLast()) >= netSpent(start)) {
            windowStarts.pollLast();
        }
        windowStarts.addLast(start);
    }

    private double netSpent(long[] start) {
        return start[2] - perEarned * start[1];
    }
}
