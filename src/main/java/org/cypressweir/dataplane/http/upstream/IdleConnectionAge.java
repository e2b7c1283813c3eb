package org.cypressweir.dataplane.http.upstream;

/**
 * How long a connection may have been idle so that what can't be repeated still goes out on it. A server may
 * forget a connection silently: what is sent on it then is reset, and nobody knows whether it has run.
 */
final class IdleConnectionAge {
    /** Taken until more is known. */
    private static final long FIRST_MICROS = 1_000_000;

    private static final long LEAST_MICROS = 10_000;
    private static final long MOST_MICROS = 60_000_000;
    /** In this time the bound that a reset has set doubles. */
    private static final long FORGET_MICROS = 60_000_000;
    /** What is reset later after it was sent has met another end. */
    static final long AT_ONCE_MICROS = 50_000;

    private long proven = FIRST_MICROS;
    private long bound = MOST_MICROS;
    private long boundAt;

    long at(long now) {
        return Math.min(proven, bound(now));
    }

    private long bound(long now) {
        long doubled = Math.min(20, Math.max(0, (now - boundAt) / FORGET_MICROS));
        return Math.min(MOST_MICROS, bound << doubled);
    }

    /** A request on a connection that had been idle so long was answered. */
    void held(long idle) {
        if (idle > proven) {
            proven += Math.min(idle - proven, proven) / 4;
        }
    }

    /** A request on such a connection was met by the connection's end, at once. */
    void dropped(long now, long idle) {
        if (idle >= LEAST_MICROS) {
            bound = Math.max(LEAST_MICROS, Math.min(bound(now), idle / 2));
            boundAt = now;
            proven = Math.min(proven, FIRST_MICROS);
        }
    }

    /** Another server is there: nothing is known of it. */
    void forget() {
        proven = FIRST_MICROS;
        bound = MOST_MICROS;
    }
}
