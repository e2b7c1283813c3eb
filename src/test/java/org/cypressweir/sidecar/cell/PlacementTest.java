package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Ids;
import org.cypressweir.testkit.CellConfigurations;
import org.junit.jupiter.api.Test;

/** Home cells of units. */
class PlacementTest {

    private static BitSet open(int... cells) {
        BitSet open = new BitSet();
        for (int c : cells) {
            open.set(c);
        }
        return open;
    }

    private static long unit(int i) {
        return Ids.of("account-" + i);
    }

    private static int[] counts(Placement placement, int cells) {
        int[] counts = new int[cells];
        for (int i = 0; i < 40_000; i++) {
            counts[placement.home(unit(i))]++;
        }
        return counts;
    }

    @Test
    void homeCellsFollowShares() {
        List<Cell> cells = List.of(
                new Cell("a", 2, false), new Cell("b", 1, false), new Cell("c", 1, false), new Cell("q", 5, true));
        int[] counts = counts(new Placement(cells, Map.of(), open(0, 1, 2, 3)), 4);
        assertEquals(20_000, counts[0], 1_500);
        assertEquals(10_000, counts[1], 1_500);
        assertEquals(10_000, counts[2], 1_500);
        assertEquals(0, counts[3]);
    }

    @Test
    void anAddedCellTakesOnlyItsOwnShare() {
        Placement four = new Placement(CellConfigurations.cells(4), Map.of(), open(0, 1, 2, 3));
        Placement five = new Placement(CellConfigurations.cells(5), Map.of(), open(0, 1, 2, 3, 4));
        int moved = 0;
        for (int i = 0; i < 40_000; i++) {
            if (four.home(unit(i)) != five.home(unit(i))) {
                assertEquals(4, five.home(unit(i)));
                moved++;
            }
        }
        assertEquals(8_000, moved, 1_200);
    }

    /** The spillover of an unhealthy cell must not all go to the same other cell. */
    @Test
    void nextHomeCellsAreSpread() {
        Placement placement = new Placement(CellConfigurations.cellsAndReserve(5), Map.of(), open(0, 1, 2, 3, 4, 5));
        int[] next = new int[6];
        for (int i = 0; i < 40_000; i++) {
            int home = placement.home(unit(i));
            int other = placement.next(unit(i), open(home));
            assertNotEquals(home, other);
            if (home == 0) {
                next[other]++;
            }
        }
        assertEquals(0, next[5]);
        for (int c = 1; c < 5; c++) {
            assertEquals(2_000, next[c], 500);
        }
    }

    @Test
    void assignmentsTakePrecedenceOverTheHash() {
        Placement placement =
                new Placement(CellConfigurations.cellsAndReserve(2), Map.of(unit(1), 2, unit(2), 1), open(0, 1, 2));
        assertEquals(2, placement.home(unit(1)));
        assertEquals(1, placement.home(unit(2)));
        // A cell without servers is no home cell, even of units that are assigned to it.
        Placement without = new Placement(CellConfigurations.cellsAndReserve(2), Map.of(unit(1), 2), open(0));
        assertEquals(0, without.home(unit(1)));
    }

    @Test
    void withoutServersEveryUnitStillHasAHomeCell() {
        Placement placement = new Placement(CellConfigurations.cells(3), Map.of(), open());
        int[] counts = counts(placement, 3);
        assertTrue(counts[0] > 0 && counts[1] > 0 && counts[2] > 0);
        Placement all = new Placement(CellConfigurations.cells(3), Map.of(), open(0, 1, 2));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(all.home(unit(i)), placement.home(unit(i)));
        }
    }
}
