package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.cypressweir.simulation.Scenario.Harm;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The model of a fleet: what it says of cells, and that its own books are right. */
class CellsSimulationTest {

    private static Scenario scenario(int cells, double guests, boolean quarantine, Harm harm, double size) {
        return new Scenario(48, 2, 400, 0.6, 0.65, cells, guests, quarantine, harm, size, 36, 7);
    }

    @ParameterizedTest
    @EnumSource(Harm.class)
    void everyRequestHasOneAnswerAndNoWriteRunsTwice(Harm harm) {
        Report r = CellsSimulation.play(scenario(4, 0.1, true, harm, 0.25));
        assertTrue(r.asked() > 20_000, "asked " + r.asked());
        assertEquals(0, r.unanswered());
        assertEquals(0, r.twice());
        assertTrue(r.inTimeBefore() > 0.9, "in time before any harm: " + r.inTimeBefore());
    }

    @Test
    void theSameScenarioGivesTheSameReport() {
        Scenario s = scenario(4, 0.1, true, Harm.FLOOD, 0.6);
        assertEquals(CellsSimulation.play(s), CellsSimulation.play(s));
    }

    /** The point of cells: of a flood that is too much for all, about one unit in so many cells notices. */
    @Test
    void harmStaysInOneCell() {
        Report none = CellsSimulation.play(scenario(1, 0, false, Harm.FLOOD, 1.5));
        Report four = CellsSimulation.play(scenario(4, 0, false, Harm.FLOOD, 1.5));
        Report eased = CellsSimulation.play(scenario(4, 0.1, true, Harm.FLOOD, 1.5));
        assertTrue(none.noticed() > 0.5, "without cells " + none);
        assertTrue(four.noticed() < 0.35, "with four " + four);
        assertTrue(eased.noticed() < four.noticed() / 2, "with guests and quarantine " + eased);
        assertTrue(four.worthWith() > none.worthWith());
    }

    /** Without a freeze sidecars go over one after the other; with one no write is ever at both cells. */
    @Test
    void aFreezeKeepsWritesApartAcrossSidecars() {
        Scenario moved = new Scenario(48, 6, 50, 1.0, 0.5, 4, 0, false, Harm.MOVE, 0, 36, 7);
        Scenario frozen = new Scenario(48, 6, 50, 1.0, 0.5, 4, 0, false, Harm.FROZEN_MOVE, 0, 36, 7);
        assertTrue(CellsSimulation.play(moved).both() > 0);
        Report r = CellsSimulation.play(frozen);
        assertEquals(0, r.both());
        assertEquals(0, r.noticed());
    }

    @Test
    void whatCantBeIsSaid() {
        IllegalArgumentException e = assertThrows(
                IllegalArgumentException.class, () -> new Scenario(4, 1, 10, 0, 0.5, 9, 0, false, Harm.NONE, 0, 30, 1));
        assertTrue(e.getMessage().contains("9 cells"));
    }
}
