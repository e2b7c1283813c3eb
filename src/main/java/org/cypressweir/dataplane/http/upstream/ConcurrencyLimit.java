package org.cypressweir.dataplane.http.upstream;

/**
 * How many requests may run at once: the slots and a few more, less after the server said that it is full,
 * growing back by one over itself an answer.
 */
final class ConcurrencyLimit {
    private static final double CUT = 0.8;

    private final UpstreamOptions plan;
    private int slots;
    private long warmUntil = Long.MIN_VALUE;
    private double limit;
    private long cutAt = Long.MIN_VALUE;

    ConcurrencyLimit(UpstreamOptions plan) {
        this.plan = plan;
    }

    int slots() {
        return slots;
    }

    /** A new life of the server starts with all its slots; the same one keeps what was learned of it. */
    void life(int newSlots, long newWarmUntil, boolean another) {
        boolean full = limit >= most();
        slots = newSlots;
        warmUntil = newWarmUntil;
        limit = another || full ? most() : Math.min(limit, most());
    }

    private int most() {
        return slots == 0 ? 0 : slots + plan.extraInFlight();
    }

    int at(long now) {
        int now1 = (int) limit;
        if (now < warmUntil) {
            int cold = Math.max(1, (int) (slots * plan.coldFactor())) + plan.extraInFlight();
            now1 = Math.min(now1, cold);
        }
        return slots == 0 ? 0 : Math.max(1, now1);
    }

    /** How many are thought to be worked on at once, for what is foretold. */
    int parallel(long now) {
        return Math.max(1, Math.min(slots, at(now)));
    }

    void answered() {
        limit = Math.min(most(), limit + 1 / Math.max(1, limit));
    }

    /** What was sent before the last cut says nothing new. */
    void full(long now, long sentAt) {
        if (sentAt >= cutAt) {
            cutAt = now;
            limit = Math.max(1, limit * CUT);
        }
    }
}
