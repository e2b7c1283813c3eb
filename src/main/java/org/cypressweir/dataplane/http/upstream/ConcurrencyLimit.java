package org.cypressweir.dataplane.http.upstream;

/**
 * Limits how many requests may run at the server at once: its announced concurrency and a few more. The limit is
 * multiplied by a factor below one when the server reports overload, and grows by one per {@code limit} responses
 * (additive increase, multiplicative decrease).
 *
 * <p>Not thread-safe: for the event loop only. Times are in microseconds.
 */
final class ConcurrencyLimit {
    private static final double DECREASE_FACTOR = 0.8;

    private final UpstreamOptions options;
    private int concurrency;
    private long warmingUpUntil = Long.MIN_VALUE;
    private double limit;
    private long decreasedAt = Long.MIN_VALUE;

    ConcurrencyLimit(UpstreamOptions options) {
        this.options = options;
    }

    /** The concurrency that the server announced, zero without a server. */
    int concurrency() {
        return concurrency;
    }

    /**
     * Applies what an instance announces. A new instance starts with the maximum limit; a known one keeps the limit
     * that its responses led to.
     */
    void update(int announcedConcurrency, long announcedWarmUpEnd, boolean newInstance) {
        boolean neverDecreased = limit >= max();
        concurrency = announcedConcurrency;
        warmingUpUntil = announcedWarmUpEnd;
        limit = newInstance || neverDecreased ? max() : Math.min(limit, max());
    }

    private int max() {
        return concurrency == 0 ? 0 : concurrency + options.extraInFlight();
    }

    /** How many requests may run now; zero without a server. */
    int current(long now) {
        if (concurrency == 0) {
            return 0;
        }
        int current = (int) limit;
        if (now < warmingUpUntil) {
            current = Math.min(current, warmUpLimit());
        }
        return Math.max(1, current);
    }

    private int warmUpLimit() {
        return Math.max(1, (int) (concurrency * options.warmUpFactor())) + options.extraInFlight();
    }

    /** How many requests the server is expected to execute in parallel, for predictions of waiting time. */
    int expectedParallelism(long now) {
        return Math.max(1, Math.min(concurrency, current(now)));
    }

    void onResponse() {
        limit = Math.min(max(), limit + 1 / Math.max(1, limit));
    }

    /** Decreases the limit, unless the request was sent before the last decrease. */
    void onOverload(long now, long sentAt) {
        if (sentAt >= decreasedAt) {
            decreasedAt = now;
            limit = Math.max(1, limit * DECREASE_FACTOR);
        }
    }
}
