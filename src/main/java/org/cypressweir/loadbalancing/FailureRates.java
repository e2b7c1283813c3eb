package org.cypressweir.loadbalancing;

import java.util.Arrays;

/**
 * For each class of requests the part that goes unanswered: everywhere, and of one server, which fades to
 * what is so everywhere. A class that is turned away or fails while others are served must not look fast or
 * idle. Room for further classes comes with the first word on them.
 */
final class FailureRates {

    /** What one server leaves unanswered. */
    final class Of {
        private double[] faults = {};
        private long[] seenAt = {};

        /** Without a word on it, what is so everywhere. */
        double get(long now, int c) {
            if (c >= seenAt.length || seenAt[c] == 0) return everywhere(c);
            double keep = Math.exp(-(now - seenAt[c]) / span);
            return everywhere(c) + (faults[c] - everywhere(c)) * keep;
        }

        /** A request was turned away, failed or hangs. */
        void failed(long now, int c) {
            set(now, c, (1 + get(now, c)) / 2);
            all[c] += weight * (1 - all[c]);
        }

        void answered(long now, int c) {
            set(now, c, get(now, c) / 2);
            all[c] -= weight * all[c];
        }

        private void set(long now, int c, double fault) {
            if (c >= seenAt.length) {
                faults = Arrays.copyOf(faults, c + 1);
                seenAt = Arrays.copyOf(seenAt, c + 1);
            }
            if (c >= all.length) all = Arrays.copyOf(all, c + 1);
            faults[c] = fault;
            seenAt[c] = now;
        }
    }

    private final double span;
    private final double weight;
    private double[] all = {};

    /** Fades with this time constant, in microseconds; one more word has this weight everywhere. */
    FailureRates(double span, double weight) {
        this.span = span;
        this.weight = weight;
    }

    private double everywhere(int c) {
        return c < all.length ? all[c] : 0;
    }
}
