package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/** When a cell counts as sick. */
class CellHealthTest {

    private static final long SECOND = 1_000_000;

    /** Changes in so many seconds at 50 answers a second, of which that part is in time. */
    private static int changes(CellHealth health, long from, long seconds, LongToDoubleFunction part) {
        int changes = 0;
        for (long s = from; s < from + seconds; s++) {
            for (int i = 0; i < 50; i++) {
                health.told(s * SECOND + i * 20_000, i < 50 * part.applyAsDouble(s));
            }
            changes += health.look(s * SECOND + 999_999) ? 1 : 0;
        }
        return changes;
    }

    @Test
    void sickWithinSecondsWellOnlyAfterAWhile() {
        CellHealth health = new CellHealth();
        assertEquals(0, changes(health, 0, 20, s -> 0.95));
        assertEquals(1, changes(health, 20, 4, s -> 0.1));
        assertTrue(health.sick());
        assertEquals(0, changes(health, 24, 9, s -> 0.95));
        assertEquals(1, changes(health, 33, 10, s -> 0.95));
        assertFalse(health.sick());
    }

    /** Swings about either mark must not make it flap: at most one change in ten seconds. */
    @Test
    void hoveringDoesNotFlap() {
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
    void fewAnswersSayNothing() {
        CellHealth health = new CellHealth();
        for (long s = 0; s < 60; s++) {
            health.told(s * SECOND, false);
            assertFalse(health.look(s * SECOND));
        }
    }

    /** Nobody asks a cell that is sick any more, or so it may be: it must not stay sick for that. */
    @Test
    void aQuietCellBecomesWell() {
        CellHealth health = new CellHealth();
        assertEquals(1, changes(health, 0, 5, s -> 0));
        boolean well = false;
        for (long s = 5; s < 25; s++) {
            well |= health.look(s * SECOND);
        }
        assertTrue(well);
    }
}
