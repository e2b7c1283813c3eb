package org.cypressweir.loadbalancing;

import java.util.Arrays;

/** Exponentially weighted means by number, each of which begins with the same value. */
final class EwmaTable {

    private final double first;
    private final double weight;
    private double[] means = {};

    /** With what each begins with, and the weight, 0 to 1, of one more value. */
    EwmaTable(double first, double weight) {
        this.first = first;
        this.weight = weight;
    }

    /** Takes a value in; below 0 there is no number to take it in for. */
    void add(int number, double value) {
        if (number < 0) {
            return;
        }
        if (number >= means.length) {
            int known = means.length;
            means = Arrays.copyOf(means, number + 1);
            Arrays.fill(means, known, number + 1, first);
        }
        means[number] += weight * (value - means[number]);
    }

    double get(int number) {
        return number >= 0 && number < means.length ? means[number] : first;
    }
}
