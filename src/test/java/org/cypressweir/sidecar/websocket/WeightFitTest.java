package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Estimates the load of tunnels from the utilization that servers report. */
class WeightFitTest {

    @ParameterizedTest
    @CsvSource({"1, 1.0", "2, 0.4", "3, 2.5", "4, 4.0"})
    void findsTheErrorOfTheStatedWeights(long seed, double actualFactor) {
        SplittableRandom random = new SplittableRandom(seed);
        WeightFit fit = new WeightFit();
        for (int i = 0; i < 600; i++) {
            double requests = random.nextDouble() * 10;
            double weight = random.nextDouble() * 10;
            double utilization =
                    0.05 + 0.02 * requests + 0.02 * actualFactor * weight + (random.nextDouble() - 0.5) * 0.1;
            fit.sample(utilization, requests, weight);
        }
        assertEquals(actualFactor, fit.factor(), actualFactor * 0.25, "seed " + seed);
    }

    /** The fit follows changing servers, and uses the stated weights while it has too little data. */
    @Test
    void followsChangesAndIgnoresIndistinguishableInputs() {
        SplittableRandom random = new SplittableRandom(7);
        WeightFit fit = new WeightFit();
        assertEquals(1, fit.factor());
        for (int i = 0; i < 2_000; i++) {
            double requests = random.nextDouble() * 10;
            double weight = random.nextDouble() * 10;
            fit.sample(0.02 * requests + 0.02 * (i < 1_000 ? 1 : 3) * weight, requests, weight);
        }
        assertEquals(3, fit.factor(), 0.3);
        // Constant inputs teach nothing, and must not let the estimates diverge.
        for (int i = 0; i < 20_000; i++) {
            fit.sample(0.3, 2, 1);
        }
        for (int i = 0; i < 2_000; i++) {
            double requests = random.nextDouble() * 10;
            double weight = random.nextDouble() * 10;
            fit.sample(0.02 * requests + 0.01 * weight, requests, weight);
        }
        assertEquals(0.5, fit.factor(), 0.1);
    }
}
