package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/** When a cell counts as unhealthy. */
class CellHealthTest {

    private static final long SECOND = 1_000_000;

    /** Counts health changes over some seconds with 50 responses a second, of which the given fraction is in time. */
    private static int changes(CellHealth health, long from, long seconds, LongToDoubleFunction fractionInTime) {
        int changes = 0;
        for (long s = from; s < from + seconds; s++) {
            for (int i = 0; i < 50; i++) {
                health.recordResponse(s * SECOND + i * 20_000, i < 50 * fractionInTime.applyAsDouble(s));
            }
            changes += health.evaluate(s * SECOND + 999_999) ? 1 : 0;
        }
        return changes;
    }

    @Test
    void becomesUnhealthyWithinSecondsAndHealthyAfterAWhile() {
        CellHealth health = new CellHealth();
        assertEquals(0, changes(health, 0, 20, s -> 0.95));
        assertEquals(1, changes(health, 20, 4, s -> 0.1));
        assertTrue(health.isUnhealthy());
        assertEquals(0, changes(health, 24, 9, s -> 0.95));
        assertEquals(1, changes(health, 33, 10, s -> 0.95));
        assertFalse(health.isUnhealthy());
    }

    /** A fraction that oscillates around either threshold makes the health change once in 300 s at most. */
    @Test
    void oscillationDoesNotFlap() {
        for (double middle : new double[] {0.5, 0.65, 0.8}) {
            CellHealth health = new CellHealth();
            int changes = changes(health, 0, 300, s -> middle + 0.1 * Math.sin(s * 0.7));
            assertTrue(changes <= 1, middle + ": " + changes);
        }
        CellHealth health = new CellHealth();
        int changes = changes(health, 0, 300, s -> s / 3 % 2 == 0 ? 1.0 : 0.0);
        assertTrue(changes <= 1, "square wave: " + changes);
    }

    @Test
    void fewResponsesDoNotChangeHealth() {
        CellHealth health = new CellHealth();
        for (long s = 0; s < 60; s++) {
            health.recordResponse(s * SECOND, false);
            assertFalse(health.evaluate(s * SECOND));
        }
    }

    /** An unhealthy cell may get no requests any more. It must not stay unhealthy for lack of responses. */
    @Test
    void aCellWithoutRequestsBecomesHealthy() {
        CellHealth health = new CellHealth();
        assertEquals(1, changes(health, 0, 5, s -> 0));
        boolean healthy = false;
        for (long s = 5; s < 25; s++) {
            healthy |= health.evaluate(s * SECOND);
        }
        assertTrue(healthy);
    }
}
