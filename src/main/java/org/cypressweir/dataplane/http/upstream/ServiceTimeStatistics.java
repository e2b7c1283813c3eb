package org.cypressweir.dataplane.http.upstream;

/**
 * Service times, learned apart for inner requests and others: their mean, and how far they spread. Time is
 * kept for both: of requests let in with the mean alone to spare half would be late.
 */
final class ServiceTimeStatistics {
    private static final double SHARE = 0.05;

    private double inner;
    private double outer;
    private double innerSpread;
    private double outerSpread;

    ServiceTimeStatistics(long first) {
        inner = first;
        outer = first;
    }

    /** The time that most of its like keep to. */
    long mostly(SchedulableRequest cargo) {
        return (long) (cargo.inner ? inner + innerSpread : outer + outerSpread);
    }

    long of(SchedulableRequest cargo) {
        return (long) (cargo.inner ? inner : outer);
    }

    void saw(SchedulableRequest cargo, long micros) {
        if (cargo.inner) {
            innerSpread += SHARE * (Math.abs(micros - inner) - innerSpread);
            inner += SHARE * (micros - inner);
        } else {
            outerSpread += SHARE * (Math.abs(micros - outer) - outerSpread);
            outer += SHARE * (micros - outer);
        }
    }

    /** It took at least this long, and nobody knows how much longer. */
    void sawAtLeast(SchedulableRequest cargo, long micros) {
        saw(cargo, Math.max(micros, of(cargo)));
    }
}
