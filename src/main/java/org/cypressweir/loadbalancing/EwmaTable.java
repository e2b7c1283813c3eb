package org.cypressweir.loadbalancing;

import java.util.Arrays;

/** Exponentially weighted moving averages by number, all with the same initial value. */
final class EwmaTable {

    private final double initial;
    private final double weight;
    private double[] means = {};

    /** Creates a table with the initial value of each mean and the weight, 0 to 1, of a new value. */
    EwmaTable(double initial, double weight) {
        this.initial = initial;
        this.weight = weight;
    }

    /** Adds a value to the mean of a number; ignored if the number is below 0, which means none. */
    void add(int number, double value) {
        if (number < 0) {
            return;
        }
        if (number >= means.length) {
            int known = means.length;
            means = Arrays.copyOf(means, number + 1);
            Arrays.fill(means, known, number + 1, initial);
        }
        means[number] += weight * (value - means[number]);
    }

    double get(int number) {
        return number >= 0 && number < means.length ? means[number] : initial;
    }
}
