package org.cypressweir.simulation;

import java.util.Arrays;
import java.util.SplittableRandom;

/** Random client requests: units follow a Zipf distribution, classes their shares, arrivals a Poisson process. */
final class Workload {

    private final SplittableRandom random;
    private final double[] cumulativeUnitShares;
    private final double[] cumulativeClassShares;

    /**
     * @param unitCount number of units, 1 or more
     * @param skew exponent of the Zipf distribution; 0 if all units send equally many requests
     * @param classShares share of each request class; they add up to 1
     */
    Workload(SplittableRandom random, int unitCount, double skew, double... classShares) {
        this.random = random;
        cumulativeUnitShares = new double[unitCount];
        double sum = 0;
        for (int i = 0; i < unitCount; i++) {
            sum += Math.pow(i + 1.0, -skew);
            cumulativeUnitShares[i] = sum;
        }
        for (int i = 0; i < unitCount; i++) {
            cumulativeUnitShares[i] /= sum;
        }
        cumulativeClassShares = classShares.clone();
        Arrays.parallelPrefix(cumulativeClassShares, Double::sum);
    }

    /** Draws the index of a unit; lower indexes are more popular. */
    int unit() {
        return draw(cumulativeUnitShares);
    }

    int requestClass() {
        return draw(cumulativeClassShares);
    }

    /** Draws the microseconds until the next arrival, at a mean rate per second. */
    long nextArrivalMicros(double rate) {
        return (long) (-Math.log(1 - random.nextDouble()) / rate * 1e6);
    }

    private int draw(double[] cumulativeShares) {
        int found = Arrays.binarySearch(cumulativeShares, random.nextDouble());
        return Math.min(cumulativeShares.length - 1, found < 0 ? -found - 1 : found);
    }
}
