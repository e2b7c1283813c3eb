package org.cypressweir.simulation;

import java.util.Arrays;
import java.util.SplittableRandom;

/** What clients ask for: units by Zipf's law, classes by their shares, times exponential. */
final class Workload {

    private final SplittableRandom random;
    private final double[] units;
    private final double[] classes;

    /**
     * @param count of units, 1 or more
     * @param skew exponent of Zipf's law; 0 for units that all ask for as much
     * @param classShares one for each class, together 1
     */
    Workload(SplittableRandom random, int count, double skew, double... classShares) {
        this.random = random;
        units = new double[count];
        double sum = 0;
        for (int i = 0; i < count; i++) {
            sum += Math.pow(i + 1.0, -skew);
            units[i] = sum;
        }
        for (int i = 0; i < count; i++) {
            units[i] /= sum;
        }
        classes = classShares.clone();
        Arrays.parallelPrefix(classes, Double::sum);
    }

    /** The place of a unit, the most popular first. */
    int unit() {
        return at(units);
    }

    int requestClass() {
        return at(classes);
    }

    /** Microseconds until the next of so many a second. */
    long pause(double rate) {
        return (long) (-Math.log(1 - random.nextDouble()) / rate * 1e6);
    }

    private int at(double[] sums) {
        int found = Arrays.binarySearch(sums, random.nextDouble());
        return Math.min(sums.length - 1, found < 0 ? -found - 1 : found);
    }
}
