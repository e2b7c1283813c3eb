package org.cypressweir.loadbalancing;

/** A mean or a rate that decays to 0 while nothing is added. */
final class DecayingMean {

    private final double decayMicros;
    private final double weight;
    private double value;
    private long updatedAt;

    /** Creates one with a time constant of decay, in microseconds, and the weight of a new value in a mean. */
    DecayingMean(double decayMicros, double weight) {
        this.decayMicros = decayMicros;
        this.weight = weight;
    }

    double get(long now) {
        return value * Math.exp(-(now - updatedAt) / decayMicros);
    }

    /** The time of the last update; 0 if there was none. */
    long updatedAt() {
        return updatedAt;
    }

    /** Adds a value to the mean. */
    void addToMean(long now, double x) {
        value = get(now) + weight * (x - get(now));
        updatedAt = now;
    }

    /** Adds an amount to the rate per microsecond. */
    void addToRate(long now, double x) {
        value = get(now) + x / decayMicros;
        updatedAt = now;
    }
}
