package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cypressweir.simulation.Scenario.Harm;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks the results of {@link CellsSimulation} and that its counts are consistent. */
class CellsSimulationTest {

    private static Scenario scenario(int cells, double guests, boolean quarantine, Harm harm, double size) {
        return new Scenario(48, 2, 400, 0.6, 0.65, cells, guests, quarantine, harm, size, 36, 7);
    }

    @ParameterizedTest
    @EnumSource(Harm.class)
    void everyRequestHasOneAnswerAndNoWriteRunsTwice(Harm harm) {
        Report r = CellsSimulation.run(scenario(4, 0.1, true, harm, 0.25));
        assertTrue(r.requests() > 20_000, "asked " + r.requests());
        assertEquals(0, r.unanswered());
        assertEquals(0, r.duplicateWrites());
        assertTrue(r.inTimeBefore() > 0.9, "in time before any harm: " + r.inTimeBefore());
    }

    @Test
    void theSameScenarioGivesTheSameReport() {
        Scenario s = scenario(4, 0.1, true, Harm.FLOOD, 0.6);
        assertEquals(CellsSimulation.run(s), CellsSimulation.run(s));
    }

    /** With n cells, a flood that would overload the whole pool affects about one unit in n. */
    @Test
    void harmIsConfinedToOneCell() {
        Report onePool = CellsSimulation.run(scenario(1, 0, false, Harm.FLOOD, 1.5));
        Report fourCells = CellsSimulation.run(scenario(4, 0, false, Harm.FLOOD, 1.5));
        Report withGuestsAndQuarantine = CellsSimulation.run(scenario(4, 0.1, true, Harm.FLOOD, 1.5));
        assertTrue(onePool.noticedShare() > 0.5, "without cells " + onePool);
        assertTrue(fourCells.noticedShare() < 0.35, "with four " + fourCells);
        assertTrue(
                withGuestsAndQuarantine.noticedShare() < fourCells.noticedShare() / 2,
                "with guests and quarantine " + withGuestsAndQuarantine);
        assertTrue(fourCells.worthWith() > onePool.worthWith());
    }

    /** Without a freeze, sidecars switch cells at different times; with one, writes never run in both cells at once. */
    @Test
    void aFreezePreventsOverlappingWritesAcrossSidecars() {
        Scenario moved = new Scenario(48, 6, 50, 1.0, 0.5, 4, 0, false, Harm.MOVE, 0, 36, 7);
        Scenario frozen = new Scenario(48, 6, 50, 1.0, 0.5, 4, 0, false, Harm.FROZEN_MOVE, 0, 36, 7);
        assertTrue(CellsSimulation.run(moved).overlappingWrites() > 0);
        Report r = CellsSimulation.run(frozen);
        assertEquals(0, r.overlappingWrites());
        assertEquals(0, r.noticedShare());
    }

    @Test
    void invalidScenarioIsRejectedWithItsValues() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> new Scenario(4, 1, 10, 0, 0.5, 9, 0, false, Harm.NONE, 0, 30, 1));
        assertTrue(e.getMessage().contains("9 cells"));
    }
}
