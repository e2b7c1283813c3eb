package org.cypressweir.loadbalancing;

import java.util.ArrayDeque;

/**
 * A budget that holds in every window of a length: at most a floor, and a part of what was earned in it. The
 * worst window begins with something spent; of those beginnings only the ones are kept that leave less room
 * than
 * all after them (a monotonic queue, as for sliding minima), so an answer costs the same however much is
 * spent.
 */
final class SlidingWindowBudget {

    private final long length;
    private final double floor;
    private final double perEarned;
    /** When, how much had been earned and how much spent by then. */
    private final ArrayDeque<long[]> tightest = new ArrayDeque<>();

    private long spent;

    /** Windows of so many microseconds; in each at most the floor and a part, 0 to 1, of what was earned. */
    SlidingWindowBudget(long length, double floor, double perEarned) {
        this.length = length;
        this.floor = floor;
        this.perEarned = perEarned;
    }

    /** Whether one more may be spent, so much having been earned so far in all; time does not go back. */
    boolean allows(long now, long earned) {
        while (!tightest.isEmpty() && now - tightest.peekFirst()[0] > length) {
            tightest.pollFirst();
        }
        long[] first = tightest.peekFirst();
        return (first == null ? 1 : 1 + spent - first[2])
                <= floor + (first == null ? 0 : perEarned * (earned - first[1]));
    }

    void spend(long now, long earned) {
        long[] one = {now, earned, spent++};
        while (!tightest.isEmpty() && room(tightest.peekLast()) >= room(one)) {
            tightest.pollLast();
        }
        tightest.addLast(one);
    }

    private double room(long[] one) {
        return one[2] - perEarned * one[1];
    }
}
