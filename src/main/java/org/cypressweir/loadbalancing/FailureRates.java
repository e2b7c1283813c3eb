package org.cypressweir.loadbalancing;

import java.util.Arrays;

/**
 * The failure rate of each request class: over all servers, and of one server, which decays to the rate over all. A
 * server that refuses or fails one class while it serves others must not look fast or idle for that class. Arrays grow
 * with the first result of a further class.
 */
final class FailureRates {

    /** The failure rates of one server. */
    final class ServerRates {
        private double[] rates = {};
        private long[] updatedAt = {};

        /** The failure rate of a class; that over all servers while there is no result from this one. */
        double get(long now, int c) {
            if (c >= updatedAt.length || updatedAt[c] == 0) return overall(c);
            double decay = Math.exp(-(now - updatedAt[c]) / decayMicros);
            return overall(c) + (rates[c] - overall(c)) * decay;
        }

        /** A request was refused, failed or hangs. */
        void failed(long now, int c) {
            set(now, c, (1 + get(now, c)) / 2);
            overall[c] += weight * (1 - overall[c]);
        }

        void succeeded(long now, int c) {
            set(now, c, get(now, c) / 2);
            overall[c] -= weight * overall[c];
        }

        private void set(long now, int c, double rate) {
            if (c >= updatedAt.length) {
                rates = Arrays.copyOf(rates, c + 1);
                updatedAt = Arrays.copyOf(updatedAt, c + 1);
            }
            if (c >= overall.length) overall = Arrays.copyOf(overall, c + 1);
            rates[c] = rate;
            updatedAt[c] = now;
        }
    }

    private final double decayMicros;
    private final double weight;
    private double[] overall = {};

    /** Creates rates with a time constant of decay, in microseconds, and a result's weight in the rates over all. */
    FailureRates(double decayMicros, double weight) {
        this.decayMicros = decayMicros;
        this.weight = weight;
    }

    private double overall(int c) {
        return c < overall.length ? overall[c] : 0;
    }
}
