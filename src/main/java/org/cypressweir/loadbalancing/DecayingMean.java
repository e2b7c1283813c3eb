package org.cypressweir.loadbalancing;

/** A mean that fades to 0 while nothing is added, and a rate that does. */
final class DecayingMean {

    private final double span;
    private final double weight;
    private double value;
    private long at;

    /** Fades with this time constant, in microseconds; one more value of a mean has this weight. */
    DecayingMean(double span, double weight) {
        this.span = span;
        this.weight = weight;
    }

    double get(long now) {
        return value * Math.exp(-(now - at) / span);
    }

    /** When it was last added to; 0 for never. */
    long at() {
        return at;
    }

    /** Takes a value into the mean. */
    void mean(long now, double x) {
        value = get(now) + weight * (x - get(now));
        at = now;
    }

    /** Counts so much in a rate a microsecond. */
    void count(long now, double x) {
        value = get(now) + x / span;
        at = now;
    }
}
