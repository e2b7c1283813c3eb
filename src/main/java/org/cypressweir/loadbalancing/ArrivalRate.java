package org.cypressweir.loadbalancing;

/** Requests a microsecond that an instance takes and admits: a decaying mean, corrected for a young instance. */
final class ArrivalRate {

    private final double spanMicros;
    private final DecayingMean rate;
    private long startedAt;

    ArrivalRate(double spanMicros) {
        this.spanMicros = spanMicros;
        rate = new DecayingMean(spanMicros, 0);
    }

    /** Servers are there; only the first call counts. */
    void start(long now) {
        startedAt = startedAt == 0 ? now : startedAt;
    }

    void count(long now, double requests) {
        rate.count(now, requests);
    }

    /** The rate, as if the instance were at least so old. */
    double perMicro(long now, double leastAgeMicros) {
        return rate.get(now) / (1 - Math.exp(-Math.max(leastAgeMicros, now - startedAt) / spanMicros));
    }
}
