package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares the sketch of a cell's heaviest units with exact counts. */
class HeavyUnitsTest {

    @Test
    void anEmptySketchHasNoHeaviestUnit() {
        HeavyUnits heavy = new HeavyUnits(4, 1_000);
        assertEquals(-1, heavy.heaviest());
        assertEquals(0, heavy.share(1));
        heavy.add(5, 9, 3);
        assertEquals(9, heavy.heaviest());
        assertEquals(1, heavy.share(9), 1e-9);
    }

    /** 1,700 units, a few of them far heavier than the others, and 64 counters. */
    @Test
    void sharesAreNeverTooHighAndCloseForHeavyUnits() {
        for (long seed = 1; seed <= 5; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            HeavyUnits heavy = new HeavyUnits(64, 2_000_000);
            Map<Long, Double> exact = new HashMap<>();
            double total = 0;
            long before = 0;
            for (long now = 0; now < 20_000_000; now += 200) {
                double faded = Math.pow(0.5, (now - before) / 2e6);
                before = now;
                long unit = random.nextInt(100) < 24 ? 1 + random.nextInt(3) : 10 + random.nextInt(1_700);
                double weight = 50 + random.nextInt(100);
                total = total * faded + weight;
                for (long u = 1; u <= 3; u++) {
                    exact.merge(u, 0.0, (a, b) -> a * faded);
                }
                exact.merge(unit, weight, Double::sum);
                heavy.add(now, unit, weight);
            }
            for (long u = 1; u <= 3; u++) {
                double share = exact.get(u) / total;
                assertTrue(heavy.share(u) <= share + 1e-9, "seed " + seed);
                assertEquals(share, heavy.share(u), 1.0 / 64, "seed " + seed);
            }
            assertTrue(heavy.heaviest() <= 3, "seed " + seed);
        }
    }

    @Test
    void oldWeightDecays() {
        HeavyUnits heavy = new HeavyUnits(8, 1_000_000);
        heavy.add(0, 1, 1_000);
        heavy.add(1_000_000, 2, 500);
        assertEquals(0.5, heavy.share(1), 1e-9);
        // Long enough for the weights to be scaled down more than once.
        for (long now = 2_000_000; now < 200_000_000; now += 1_000_000) {
            heavy.add(now, 2, 1);
        }
        assertTrue(heavy.share(1) < 1e-9);
        assertEquals(2, heavy.heaviest());
    }
}
