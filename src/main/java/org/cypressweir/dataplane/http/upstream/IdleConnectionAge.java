package org.cypressweir.dataplane.http.upstream;

/**
 * Learns how long a connection may have been idle so that a request that is not idempotent is still sent on it. A
 * server may drop an idle connection silently: the next request on it is reset, and it is unknown whether that
 * request was executed.
 *
 * <p>Idle times that were followed by a response raise the age; a reset right after sending bounds it by half of
 * the idle time, and this bound doubles every minute. For the event loop only; times are in microseconds.
 */
final class IdleConnectionAge {
    /** Assumed until more is known. */
    private static final long INITIAL_MICROS = 1_000_000;

    private static final long MIN_MICROS = 10_000;
    private static final long MAX_MICROS = 60_000_000;
    /** The bound set by a reset doubles each time this time has passed. */
    private static final long BOUND_DOUBLING_MICROS = 60_000_000;

    private static final int MAX_DOUBLINGS = 20;
    /** A connection that ends later than this after sending did not end because it had been idle. */
    static final long RESET_AFTER_SEND_MICROS = 50_000;

    private long proven = INITIAL_MICROS;
    private long bound = MAX_MICROS;
    private long boundAt;

    /** The longest idle time that is trusted now. */
    long maxAge(long now) {
        return Math.min(proven, bound(now));
    }

    private long bound(long now) {
        long doublings = Math.min(MAX_DOUBLINGS, Math.max(0, (now - boundAt) / BOUND_DOUBLING_MICROS));
        return Math.min(MAX_MICROS, bound << doublings);
    }

    /** A request on a connection that had been idle for so long received a response. */
    void onResponse(long idle) {
        if (idle > proven) {
            proven += Math.min(idle - proven, proven) / 4;
        }
    }

    /** A connection that had been idle for so long ended right after a request was sent on it. */
    void onReset(long now, long idle) {
        if (idle >= MIN_MICROS) {
            bound = Math.max(MIN_MICROS, Math.min(bound(now), idle / 2));
            boundAt = now;
            proven = Math.min(proven, INITIAL_MICROS);
        }
    }

    /** Another instance has the address, and nothing is known of it. */
    void forget() {
        proven = INITIAL_MICROS;
        bound = MAX_MICROS;
    }
}
