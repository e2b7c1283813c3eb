package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.sidecar.cell.Cells.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.testkit.CellPlans;
import org.cypressweir.testkit.CellsFixture;
import org.junit.jupiter.api.Test;

/** Where requests go while units stay, move, flood, and cells fall sick. */
class CellsTest {

    private static final long START = 100_000_000;
    private static final long SECOND = 1_000_000;
    private static final List<Cell> THREE = CellPlans.cells(3);
    private static final List<Cell> AND_RESERVE = CellPlans.cellsAndReserve(3);

    private static CellsFixture rig(CellsConfiguration plan) {
        return new CellsFixture(plan, START, 30);
    }

    private static int home(String unit, List<Cell> cells) {
        BitSet open = new BitSet();
        open.set(0, cells.size());
        return new Placement(cells, Map.of(), open).home(Ids.of(unit));
    }

    /** A unit that is at home in a given cell. */
    private static String unitOf(int cell, List<Cell> cells, int skip) {
        for (int i = 0; ; i++) {
            if (home("u" + i, cells) == cell && skip-- == 0) {
                return "u" + i;
            }
        }
    }

    // ---- At home

    @Test
    void aUnitStaysInItsCell() {
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null));
        for (int i = 0; i < 200; i++) {
            String unit = "u" + i % 20;
            for (Effect effect : Effect.values()) {
                Ticket t = rig.ask(unit, effect);
                assertEquals(home(unit, THREE), t.cell());
                assertFalse(t.guest());
                rig.done(t, true);
            }
        }
        for (int c = 0; c < 3; c++) {
            assertEquals(0, rig.cells.inFlight(c));
        }
    }

    @Test
    void aCellWithoutServersIsNobodysHome() {
        CellsFixture rig = new CellsFixture(CellPlans.plan(THREE, Map.of(Ids.of("vip"), 1), 0, null), START, 30);
        assertEquals(1, rig.ask("vip", Effect.UNSAFE).cell());
        rig.cells.listed(START + 1, ListKind.COMPLETE, CellPlans.servers(1, 1));
        // Places are kept: a list that is short for a moment moves nobody.
        assertEquals(1, rig.ask("vip", Effect.UNSAFE).cell());
        rig.to(START + 62 * SECOND);
        rig.cells.sweep(rig.now);
        int only = rig.ask("u1", Effect.UNSAFE).cell();
        assertEquals(only, rig.ask("vip", Effect.UNSAFE).cell());
        assertEquals(only, rig.ask("u2", Effect.SAFE).cell());
    }

    // ---- Moves

    @Test
    void safeRequestsGoOverBitByBitAndWritesAtOnce() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 20 * SECOND, 0)));
        List<Integer> parts = new ArrayList<>();
        for (int s = 0; s < 40; s++) {
            rig.to(START + s * SECOND);
            int over = 0;
            for (int i = 0; i < 1_000; i++) {
                Ticket t = rig.ask("acme", Effect.SAFE);
                over += t.cell() == to ? 1 : 0;
                rig.done(t, true);
            }
            Ticket write = rig.ask("acme", Effect.UNSAFE);
            assertEquals(s < 30 ? from : to, write.cell(), "at " + s);
            rig.done(write, true);
            assertEquals(home("u1", THREE), rig.ask("u1", Effect.SAFE).cell());
            parts.add(over);
        }
        assertEquals(0, parts.get(9));
        assertEquals(500, parts.get(20), 80);
        assertEquals(1_000, parts.get(30));
        for (int s = 1; s < 40; s++) {
            assertTrue(parts.get(s) >= parts.get(s - 1) - 40, "goes back at " + s);
        }
        assertTrue(rig.logged("is done"));
    }

    /** A sidecar that restarts in mid-move goes on where the others are. */
    @Test
    void aRestartCatchesUp() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        MoveConfiguration move = CellPlans.move("acme", to, START, 100 * SECOND, 0);
        CellsFixture restarted = new CellsFixture(CellPlans.plan(THREE, 0, null, move), START + 70 * SECOND, 30);
        int over = 0;
        for (int i = 0; i < 1_000; i++) {
            over += restarted.ask("acme", Effect.SAFE).cell() == to ? 1 : 0;
        }
        assertEquals(700, over, 60);
        assertEquals(from, restarted.ask("acme", Effect.UNSAFE).cell());
        // Long after the move keyed requests may still be repeats of what this process never saw.
        CellsFixture late = new CellsFixture(CellPlans.plan(THREE, 0, null, move), START + 500 * SECOND, 30);
        assertEquals(to, late.ask("acme", Effect.SAFE).cell());
        assertEquals(from, late.ask("acme", Effect.KEYED).cell());
        late.to(late.now + CellPlans.WINDOW + SECOND);
        assertEquals(to, late.ask("acme", Effect.KEYED).cell());
    }

    @Test
    void repeatsGoWhereTheFirstWas() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 0, 0)));
        rig.to(START + 9 * SECOND);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 77).cell());
        rig.to(START + 11 * SECOND);
        assertEquals(to, rig.ask("acme", Effect.KEYED, 78).cell());
        assertEquals(from, rig.ask("acme", Effect.KEYED, 77).cell());
        assertEquals(to, rig.ask("acme", Effect.KEYED, 78).cell());
        // Each repeat makes the servers remember for longer.
        rig.to(START + 13 * SECOND);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 77).cell());
        rig.to(START + 20 * SECOND);
        assertEquals(to, rig.ask("acme", Effect.KEYED, 77).cell());
    }

    /** The fence: no write starts at the new cell while one is out at the old one. */
    @Test
    void theFenceWaitsForWritesAtTheOldCell() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        rig.to(START + 9 * SECOND);
        Ticket old = rig.ask("acme", Effect.UNSAFE);
        assertEquals(from, old.cell());
        rig.to(START + 10 * SECOND);
        Ticket held = rig.ask("acme", Effect.UNSAFE);
        assertEquals(-1, held.cell());
        assertEquals(to, rig.ask("acme", Effect.SAFE).cell());
        assertNotEquals(-1, rig.ask("u1", Effect.UNSAFE).cell());
        // One with little time left is not held.
        assertEquals(from, rig.ask("acme", Effect.UNSAFE, 5_001, 900_000).cell());
        assertEquals(1, rig.cells.held());
        rig.to(rig.now + 100_000);
        rig.done(old, true);
        assertTrue(rig.released.isEmpty(), "the short one is still out");
    }

    @Test
    void whatIsHeldGoesOverWithTheLastOldWrite() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        rig.to(START + 9 * SECOND);
        Ticket old = rig.ask("acme", Effect.UNSAFE);
        rig.to(START + 10 * SECOND);
        Ticket first = rig.ask("acme", Effect.UNSAFE);
        Ticket gone = rig.ask("acme", Effect.UNSAFE);
        Ticket last = rig.ask("acme", Effect.KEYED);
        rig.cells.left(rig.now, gone);
        rig.done(old, true);
        assertEquals(List.of(first, last), rig.released);
        assertEquals(to, first.cell());
        assertEquals(to, last.cell());
        assertEquals(0, rig.cells.held());
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
    }

    /** The heaviest account in a busy hour: there is always a write out that lasts longer than the fence. */
    @Test
    void aFenceInVainSendsBackTriesAgainAndGivesUp() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 0, 200_000)));
        rig.to(START + 9 * SECOND);
        rig.ask("acme", Effect.UNSAFE);
        rig.to(START + 10 * SECOND);
        Ticket held = rig.ask("acme", Effect.UNSAFE);
        rig.to(START + 10 * SECOND + 250_000);
        assertEquals(List.of(held), rig.released);
        assertEquals(from, held.cell());
        int holds = 1;
        for (int s = 11; s < 900; s++) {
            rig.to(START + s * SECOND);
            Ticket t = rig.ask("acme", Effect.UNSAFE);
            holds += t.cell() < 0 ? 1 : 0;
            rig.to(rig.now + 300_000);
            assertEquals(from, t.cell());
        }
        assertTrue(holds <= UnitMigration.TRIES + 1, "held " + holds + " times");
        assertTrue(rig.logged("given up after 6 tries"));
        assertEquals(from, rig.ask("acme", Effect.SAFE).cell());
    }

    /** A restarted process can't know which writes of its predecessor still run. */
    @Test
    void aFenceIsBlindAtFirstAfterARestart() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START - 60 * SECOND, 0, 200_000)));
        rig.to(START + CellPlans.PATIENCE - 1_000);
        Ticket early = rig.ask("acme", Effect.UNSAFE);
        assertEquals(from, early.cell());
        rig.done(early, true);
        rig.to(START + CellPlans.PATIENCE + SECOND);
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
    }

    // ---- Freezes

    /** All sidecars refuse the unit's writes for the same time, so none is at both cells whoever sent it. */
    @Test
    void aFreezeRefusesWritesAtOnce() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsConfiguration plan =
                CellPlans.plan(THREE, 0, null, CellPlans.frozen("acme", to, START + 10 * SECOND, 6 * SECOND));
        CellsFixture rig = rig(plan);
        rig.to(START + 10 * SECOND - 1);
        Ticket before = rig.ask("acme", Effect.UNSAFE);
        assertEquals(from, before.cell());
        rig.to(START + 12 * SECOND);
        Ticket refused = rig.ask("acme", Effect.UNSAFE);
        assertEquals(-1, refused.cell());
        assertEquals(4 * SECOND, refused.retryAfterMicros());
        assertEquals(4 * SECOND, rig.ask("acme", Effect.KEYED).retryAfterMicros());
        assertEquals(to, rig.ask("acme", Effect.SAFE).cell());
        assertEquals(0, rig.ask("u1", Effect.UNSAFE).retryAfterMicros());
        rig.to(START + 16 * SECOND);
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
        assertEquals(to, rig.ask("acme", Effect.KEYED).cell());
        // One that learns of it late can't know what it has sent itself, and refuses for the whole time.
        CellsFixture late = new CellsFixture(plan, START + 40 * SECOND, 30);
        assertEquals(6 * SECOND, late.ask("acme", Effect.UNSAFE).retryAfterMicros());
        late.to(START + 46 * SECOND);
        assertEquals(to, late.ask("acme", Effect.UNSAFE).cell());
    }

    /** A freeze is the same at all sidecars: none steps back for what it alone finds. */
    @Test
    void aFreezeDoesNotStepBack() {
        int to = (home("acme", THREE) + 1) % 3;
        String there = unitOf(to, THREE, 0);
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.frozen("acme", to, START + 10 * SECOND, 6 * SECOND)));
        for (int s = 0; s < 20; s++) {
            rig.second(there, Effect.UNSAFE, 50, false);
        }
        assertTrue(rig.cells.sick(to));
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
    }

    /** Repeats of keyed requests find the cell of the first, during a freeze and after it. */
    @Test
    void aFreezeKeepsRepeatsTogether() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.frozen("acme", to, START + 10 * SECOND, 1 * SECOND)));
        rig.to(START + 9 * SECOND);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 70_000).cell());
        rig.to(START + 10 * SECOND + 500_000);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 70_000).cell());
        assertTrue(rig.ask("acme", Effect.KEYED, 70_001).retryAfterMicros() > 0);
        rig.to(START + 12 * SECOND);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 70_000).cell());
        assertEquals(to, rig.ask("acme", Effect.KEYED, 70_001).cell());
    }

    // ---- Set-backs

    /** A new cell that falls sick under the moved load gives it back, and gets it again later. */
    @Test
    void aSickNewCellGivesBack() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        String there = unitOf(to, THREE, 0);
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 5 * SECOND, 60 * SECOND, 0)));
        for (int s = 0; s < 20; s++) {
            rig.second(there, Effect.UNSAFE, 50, s < 12);
        }
        assertTrue(rig.cells.sick(to));
        assertTrue(rig.logged("goes back: cell"));
        for (int i = 0; i < 100; i++) {
            assertEquals(from, rig.ask("acme", Effect.SAFE).cell());
        }
        for (int s = 0; s < 120; s++) {
            rig.second(there, Effect.UNSAFE, 50, true);
        }
        assertFalse(rig.cells.sick(to));
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
    }

    // ---- Sick cells

    @Test
    void guestsOfASickCellAreSafeAndFew() {
        CellsFixture rig = rig(CellPlans.plan(AND_RESERVE, 0.1, null));
        String unit = unitOf(0, AND_RESERVE, 0);
        for (int s = 0; s < 5; s++) {
            rig.second(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(rig.cells.sick(0));
        assertTrue(rig.logged("cell c0 of pool p is sick"));
        // A seventh of what the pool may have is a cell's part here, and a tenth of that for guests.
        int bound = (int) Math.ceil(CellsFixture.REQUESTS / 3.5 / 10);
        int guests = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(0, rig.ask(unit, Effect.UNSAFE).cell());
            Ticket t = rig.ask(unit, Effect.SAFE);
            guests += t.guest() ? 1 : 0;
            assertEquals(t.guest(), t.cell() != 0);
            assertNotEquals(3, t.cell());
        }
        assertEquals(bound, guests, 1);
        assertEquals(guests, rig.cells.guests(1) + rig.cells.guests(2));
    }

    /** Of what may be a guest a part stays, so that the cell shows when it is well; keyed requests all do. */
    @Test
    void writesMayBeGuestsToo() {
        CellsFixture rig = rig(CellPlans.withGuestWrites(CellPlans.plan(AND_RESERVE, 0.5, null)));
        String unit = unitOf(0, AND_RESERVE, 0);
        for (int s = 0; s < 5 && !rig.cells.sick(0); s++) {
            rig.second(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(rig.cells.sick(0));
        int guests = 0;
        for (int i = 0; i < 2_000; i++) {
            Ticket write = rig.ask(unit, Effect.UNSAFE);
            guests += write.guest() ? 1 : 0;
            rig.done(write, true);
            Ticket keyed = rig.ask(unit, Effect.KEYED);
            assertEquals(0, keyed.cell());
            rig.done(keyed, true);
        }
        assertEquals(2_000 * (1 - Cells.TRIAL_PART), guests, 60);
    }

    /** What made the cell sick is not carried to the next. */
    @Test
    void aUnitThatFloodsIsNoGuest() {
        CellsFixture rig = rig(CellPlans.plan(AND_RESERVE, 0.5, null));
        List<String> others = List.of(unitOf(0, AND_RESERVE, 0), unitOf(0, AND_RESERVE, 1));
        String flooder = unitOf(0, AND_RESERVE, 2);
        for (int s = 0; s < 60; s++) {
            busy(rig, others, flooder, 0, true);
        }
        for (int s = 0; s < 8; s++) {
            busy(rig, others, flooder, 3, false);
        }
        assertTrue(rig.cells.sick(0));
        int guests = 0;
        for (int i = 0; i < 100; i++) {
            Ticket t = rig.ask(flooder, Effect.SAFE);
            assertEquals(0, t.cell());
            rig.done(t, false);
            Ticket other = rig.ask(others.get(i % 2), Effect.SAFE);
            guests += other.guest() ? 1 : 0;
            rig.done(other, true);
        }
        assertTrue(guests > 80, "only " + guests);
    }

    @Test
    void withoutGuestsHarmStays() {
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null));
        String unit = unitOf(0, THREE, 0);
        for (int s = 0; s < 5; s++) {
            rig.second(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(rig.cells.sick(0));
        assertEquals(0, rig.ask(unit, Effect.SAFE).cell());
    }

    // ---- Quarantine

    private static void busy(CellsFixture rig, List<String> others, String flooder, int flood, boolean inTime) {
        long end = rig.now + SECOND;
        for (int i = 0; i < 60; i++) {
            rig.to(rig.now + 10_000);
            rig.done(rig.ask(others.get(i % others.size()), Effect.UNSAFE), inTime);
            for (int f = 0; f < flood; f++) {
                rig.done(rig.ask(flooder, Effect.UNSAFE), inTime);
            }
        }
        rig.to(end);
    }

    @Test
    void aUnitThatFloodsASickCellIsSetApartAndComesBack() {
        CellsFixture rig = rig(CellPlans.plan(AND_RESERVE, 0, new Quarantine(3, 0.3, 30 * SECOND)));
        List<String> others = List.of(
                unitOf(0, AND_RESERVE, 0),
                unitOf(0, AND_RESERVE, 1),
                unitOf(0, AND_RESERVE, 2),
                unitOf(0, AND_RESERVE, 3));
        String flooder = unitOf(0, AND_RESERVE, 4);
        for (int s = 0; s < 60; s++) {
            busy(rig, others, flooder, s % 10 == 0 ? 1 : 0, true);
        }
        assertEquals(0, rig.ask(flooder, Effect.UNSAFE).cell());
        int calm = 0;
        while (rig.ask(flooder, Effect.UNSAFE).cell() == 0) {
            busy(rig, others, flooder, 3, false);
            assertTrue(++calm < 15, "still there: " + rig.log);
        }
        assertEquals(3, rig.ask(flooder, Effect.SAFE).cell());
        others.forEach(u -> assertEquals(0, rig.ask(u, Effect.UNSAFE).cell()));
        for (int s = 0; s < 45; s++) {
            busy(rig, others, flooder, 0, true);
        }
        assertEquals(0, rig.ask(flooder, Effect.UNSAFE).cell());
        assertFalse(rig.cells.sick(0));
    }

    /** A bad release makes a cell sick with all units as they always were: nobody is to be blamed. */
    @Test
    void aCellThatIsSickByItselfSetsNobodyApart() {
        CellsFixture rig = rig(CellPlans.plan(AND_RESERVE, 0, new Quarantine(3, 0.3, 30 * SECOND)));
        List<String> others = List.of(unitOf(0, AND_RESERVE, 0));
        String large = unitOf(0, AND_RESERVE, 4);
        for (int s = 0; s < 60; s++) {
            busy(rig, others, large, 2, s < 40);
            assertEquals(0, rig.ask(large, Effect.UNSAFE).cell());
        }
        assertTrue(rig.cells.sick(0));
    }

    // ---- Other orders

    @Test
    void aNewOrderBeginsAndAMoveThatStaysGoesOn() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        MoveConfiguration move = CellPlans.move("acme", to, START, 0, 0);
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null, move));
        rig.to(START + 10 * SECOND);
        assertEquals(to, rig.ask("acme", Effect.KEYED).cell());
        rig.to(START + 20 * SECOND);
        assertEquals(List.of("m-acme DONE c" + to + " 100%"), rig.cells.moves(rig.now));
        rig.cells.plan(
                rig.now,
                CellPlans.plan(
                        THREE,
                        0,
                        null,
                        move,
                        CellPlans.move("other", (home("other", THREE) + 1) % 3, rig.now + 5 * SECOND, 0, 0)),
                1_000);
        assertEquals("m-acme DONE c" + to + " 100%", rig.cells.moves(rig.now).get(0));
        // The move is taken out and its end written down: nothing changes for anyone.
        rig.cells.plan(rig.now, CellPlans.plan(THREE, Map.of(Ids.of("acme"), to), 0, null), 1_000);
        assertEquals(to, rig.ask("acme", Effect.KEYED).cell());
        assertEquals(to, rig.ask("acme", Effect.UNSAFE).cell());
    }

    /** Without either, the unit goes home; keyed requests once no repeat of older ones can come. */
    @Test
    void anOrderThatIsTakenBackKeepsRepeatsTogether() {
        int from = home("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START, 0, 0)));
        rig.to(START + 20 * SECOND);
        assertEquals(to, rig.ask("acme", Effect.KEYED, 9_000).cell());
        rig.cells.plan(rig.now, CellPlans.plan(THREE, 0, null), 1_000);
        assertEquals(from, rig.ask("acme", Effect.UNSAFE).cell());
        assertEquals(to, rig.ask("acme", Effect.KEYED, 9_000).cell());
        rig.to(rig.now + CellPlans.WINDOW - 1);
        assertEquals(to, rig.ask("acme", Effect.KEYED, 9_001).cell());
        rig.to(rig.now + 2);
        assertEquals(from, rig.ask("acme", Effect.KEYED, 9_002).cell());
        assertEquals(to, rig.ask("acme", Effect.KEYED, 9_001).cell());
    }

    @Test
    void aCellMoreTakesServersAndUnitsOfItsOwnOnly() {
        CellsFixture rig = rig(CellPlans.plan(THREE, 0, null));
        assertTrue(rig.cells.fits(CellPlans.plan(CellPlans.cells(4), 0, null)));
        assertFalse(rig.cells.fits(CellPlans.plan(CellPlans.cells(2), 0, null)));
        List<CellAssignment.Moved> moved = rig.cells.plan(rig.now, CellPlans.plan(CellPlans.cells(4), 0, null), 1_000);
        assertTrue(moved.stream().filter(m -> m.to() == 3).count() >= 7);
        for (int i = 0; i < 200; i++) {
            int before = home("u" + i, THREE);
            int after = rig.ask("u" + i, Effect.UNSAFE).cell();
            assertTrue(after == before || after == 3);
        }
    }

    @Test
    void closingHoldsNothingBack() {
        int to = (home("acme", THREE) + 1) % 3;
        CellsFixture rig =
                rig(CellPlans.plan(THREE, 0, null, CellPlans.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        rig.to(START + 9 * SECOND);
        rig.ask("acme", Effect.UNSAFE);
        rig.to(START + 10 * SECOND);
        Ticket held = rig.ask("acme", Effect.UNSAFE);
        rig.cells.closing(rig.now);
        assertEquals(List.of(held), rig.released);
        assertTrue(held.cell() >= 0);
    }
}
