package org.cypressweir.dataplane.http.upstream;

/**
 * Learns how long a connection may have been idle so that a request that is not idempotent is still sent on it. A
 * server may drop an idle connection silently: the next request on it is reset, and it is unknown whether that
 * request was executed.
 *
 * <p>An idle time that was followed by a response raises the permitted idle time. A reset right after sending bounds it
 * by half of the time that the connection had been idle, and this bound doubles every minute. For the event loop only;
 * times are in microseconds.
 */
final class IdleConnectionAge {
    /** Assumed until more is known. */
    private static final long INITIAL_MICROS = 1_000_000;

    private static final long MIN_MICROS = 10_000;
    private static final long MAX_MICROS = 60_000_000;
    /** The interval at which the bound set by a reset doubles. */
    private static final long BOUND_DOUBLING_MICROS = 60_000_000;

    private static final int MAX_DOUBLINGS = 20;
    /** A connection that ends later than this after sending is not counted as reset for having been idle. */
    static final long RESET_AFTER_SEND_MICROS = 50_000;

    private long provenIdle = INITIAL_MICROS;
    private long resetBound = MAX_MICROS;
    private long boundSetAt;

    /** The longest idle time after which a connection is still used for a request that is not idempotent. */
    long maxIdleTime(long now) {
        return Math.min(provenIdle, currentBound(now));
    }

    private long currentBound(long now) {
        long doublings = Math.min(MAX_DOUBLINGS, Math.max(0, (now - boundSetAt) / BOUND_DOUBLING_MICROS));
        return Math.min(MAX_MICROS, resetBound << doublings);
    }

    /** A request on a connection that had been idle for so long received a response. */
    void onResponse(long idle) {
        if (idle > provenIdle) {
            provenIdle += Math.min(idle - provenIdle, provenIdle) / 4;
        }
    }

    /** A connection that had been idle for so long ended right after a request was sent on it. */
    void onReset(long now, long idle) {
        if (idle >= MIN_MICROS) {
            resetBound = Math.max(MIN_MICROS, Math.min(currentBound(now), idle / 2));
            boundSetAt = now;
            provenIdle = Math.min(provenIdle, INITIAL_MICROS);
        }
    }

    /** Discards what was learned: another instance has the address now. */
    void reset() {
        provenIdle = INITIAL_MICROS;
        resetBound = MAX_MICROS;
    }
}
