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
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.testkit.CellConfigurations;
import org.cypressweir.testkit.CellsFixture;
import org.junit.jupiter.api.Test;

/** Where requests go in normal operation, during moves and quarantines, and when cells become unhealthy. */
class CellRouterTest {

    private static final long START = 100_000_000;
    private static final long SECOND = 1_000_000;
    private static final List<Cell> THREE = CellConfigurations.cells(3);
    private static final List<Cell> THREE_AND_RESERVED = CellConfigurations.cellsAndReserve(3);

    private static CellsFixture fixture(CellsConfiguration plan) {
        return new CellsFixture(plan, START, 30);
    }

    private static int homeOf(String unit, List<Cell> cells) {
        BitSet open = new BitSet();
        open.set(0, cells.size());
        return new Placement(cells, Map.of(), open).home(Ids.of(unit));
    }

    /** A unit whose home is the given cell; the first after those skipped. */
    private static String unitOf(int cell, List<Cell> cells, int skip) {
        for (int i = 0; ; i++) {
            if (homeOf("u" + i, cells) == cell && skip-- == 0) {
                return "u" + i;
            }
        }
    }

    // ---- Home cells

    @Test
    void aUnitStaysInItsCell() {
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE, 0, null));
        for (int i = 0; i < 200; i++) {
            String unit = "u" + i % 20;
            for (Effect effect : Effect.values()) {
                Ticket ticket = fixture.ask(unit, effect);
                assertEquals(homeOf(unit, THREE), ticket.cell());
                assertFalse(ticket.isSpillover());
                fixture.done(ticket, true);
            }
        }
        for (int c = 0; c < 3; c++) {
            assertEquals(0, fixture.cells.inFlight(c));
        }
    }

    @Test
    void aCellWithoutServersIsNoHomeCell() {
        CellsFixture fixture =
                new CellsFixture(CellConfigurations.configuration(THREE, Map.of(Ids.of("vip"), 1), 0, null), START, 30);
        assertEquals(1, fixture.ask("vip", Effect.UNSAFE).cell());
        fixture.cells.listed(START + 1, ListKind.COMPLETE, CellConfigurations.servers(1, 1));
        // Places stay reserved: a list that is incomplete for a moment moves no unit.
        assertEquals(1, fixture.ask("vip", Effect.UNSAFE).cell());
        fixture.advanceTo(START + 62 * SECOND);
        fixture.cells.sweep(fixture.now);
        int only = fixture.ask("u1", Effect.UNSAFE).cell();
        assertEquals(only, fixture.ask("vip", Effect.UNSAFE).cell());
        assertEquals(only, fixture.ask("u2", Effect.SAFE).cell());
    }

    // ---- Moves

    @Test
    void safeRequestsMoveGraduallyAndWritesAllAtOnce() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 20 * SECOND, 0)));
        List<Integer> atTargetPerSecond = new ArrayList<>();
        for (int s = 0; s < 40; s++) {
            fixture.advanceTo(START + s * SECOND);
            int atTarget = 0;
            for (int i = 0; i < 1_000; i++) {
                Ticket ticket = fixture.ask("acme", Effect.SAFE);
                atTarget += ticket.cell() == to ? 1 : 0;
                fixture.done(ticket, true);
            }
            Ticket write = fixture.ask("acme", Effect.UNSAFE);
            assertEquals(s < 30 ? from : to, write.cell(), "at " + s);
            fixture.done(write, true);
            assertEquals(homeOf("u1", THREE), fixture.ask("u1", Effect.SAFE).cell());
            atTargetPerSecond.add(atTarget);
        }
        assertEquals(0, atTargetPerSecond.get(9));
        assertEquals(500, atTargetPerSecond.get(20), 80);
        assertEquals(1_000, atTargetPerSecond.get(30));
        for (int s = 1; s < 40; s++) {
            assertTrue(
                    atTargetPerSecond.get(s) >= atTargetPerSecond.get(s - 1) - 40,
                    "fewer requests at the new cell at second " + s);
        }
        assertTrue(fixture.logged("is done"));
    }

    /** A sidecar that restarts during a ramp joins it where the others are. */
    @Test
    void aRestartedSidecarJoinsTheRamp() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        MoveConfiguration move = CellConfigurations.move("acme", to, START, 100 * SECOND, 0);
        CellsFixture restarted =
                new CellsFixture(CellConfigurations.configuration(THREE, 0, null, move), START + 70 * SECOND, 30);
        int atTarget = 0;
        for (int i = 0; i < 1_000; i++) {
            atTarget += restarted.ask("acme", Effect.SAFE).cell() == to ? 1 : 0;
        }
        assertEquals(700, atTarget, 60);
        assertEquals(from, restarted.ask("acme", Effect.UNSAFE).cell());
        // Long after the move, keyed requests may still be retries of requests that this process never saw.
        CellsFixture late =
                new CellsFixture(CellConfigurations.configuration(THREE, 0, null, move), START + 500 * SECOND, 30);
        assertEquals(to, late.ask("acme", Effect.SAFE).cell());
        assertEquals(from, late.ask("acme", Effect.KEYED).cell());
        late.advanceTo(late.now + CellConfigurations.WINDOW_MICROS + SECOND);
        assertEquals(to, late.ask("acme", Effect.KEYED).cell());
    }

    @Test
    void retriesGoToTheCellOfTheFirstRequest() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 0, 0)));
        fixture.advanceTo(START + 9 * SECOND);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 77).cell());
        fixture.advanceTo(START + 11 * SECOND);
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 78).cell());
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 77).cell());
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 78).cell());
        // Each retry restarts the deduplication window of the servers.
        fixture.advanceTo(START + 13 * SECOND);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 77).cell());
        fixture.advanceTo(START + 20 * SECOND);
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 77).cell());
    }

    /** With a fence, no write starts at the new cell while one is in flight at the old one. */
    @Test
    void theFenceWaitsForWritesAtTheOldCell() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        fixture.advanceTo(START + 9 * SECOND);
        Ticket old = fixture.ask("acme", Effect.UNSAFE);
        assertEquals(from, old.cell());
        fixture.advanceTo(START + 10 * SECOND);
        Ticket held = fixture.ask("acme", Effect.UNSAFE);
        assertEquals(-1, held.cell());
        assertEquals(to, fixture.ask("acme", Effect.SAFE).cell());
        assertNotEquals(-1, fixture.ask("u1", Effect.UNSAFE).cell());
        // A request with little time left until its deadline is not held.
        assertEquals(from, fixture.ask("acme", Effect.UNSAFE, 5_001, 900_000).cell());
        assertEquals(1, fixture.cells.held());
        fixture.advanceTo(fixture.now + 100_000);
        fixture.done(old, true);
        assertTrue(fixture.released.isEmpty(), "the write with the short deadline is still in flight");
    }

    @Test
    void heldWritesAreReleasedWhenTheLastOldWriteEnds() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        fixture.advanceTo(START + 9 * SECOND);
        Ticket old = fixture.ask("acme", Effect.UNSAFE);
        fixture.advanceTo(START + 10 * SECOND);
        Ticket first = fixture.ask("acme", Effect.UNSAFE);
        Ticket gone = fixture.ask("acme", Effect.UNSAFE);
        Ticket last = fixture.ask("acme", Effect.KEYED);
        fixture.cells.cancelHeld(fixture.now, gone);
        fixture.done(old, true);
        assertEquals(List.of(first, last), fixture.released);
        assertEquals(to, first.cell());
        assertEquals(to, last.cell());
        assertEquals(0, fixture.cells.held());
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
    }

    /** A busy unit always has a write in flight that takes longer than the fence, so the fence always expires. */
    @Test
    void expiredFencesAreRetriedAndThenTheMoveIsGivenUp() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 0, 200_000)));
        fixture.advanceTo(START + 9 * SECOND);
        fixture.ask("acme", Effect.UNSAFE);
        fixture.advanceTo(START + 10 * SECOND);
        Ticket held = fixture.ask("acme", Effect.UNSAFE);
        fixture.advanceTo(START + 10 * SECOND + 250_000);
        assertEquals(List.of(held), fixture.released);
        assertEquals(from, held.cell());
        int holds = 1;
        for (int s = 11; s < 900; s++) {
            fixture.advanceTo(START + s * SECOND);
            Ticket ticket = fixture.ask("acme", Effect.UNSAFE);
            holds += ticket.cell() < 0 ? 1 : 0;
            fixture.advanceTo(fixture.now + 300_000);
            assertEquals(from, ticket.cell());
        }
        assertTrue(holds <= UnitMigration.MAX_ATTEMPTS + 1, "held " + holds + " times");
        assertTrue(fixture.logged("given up after 6 tries"));
        assertEquals(from, fixture.ask("acme", Effect.SAFE).cell());
    }

    /** After a restart, writes of the previous process may still run unknown to the new one. */
    @Test
    void afterARestartAFenceWaitsForUnknownWrites() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START - 60 * SECOND, 0, 200_000)));
        fixture.advanceTo(START + CellConfigurations.PATIENCE_MICROS - 1_000);
        Ticket early = fixture.ask("acme", Effect.UNSAFE);
        assertEquals(from, early.cell());
        fixture.done(early, true);
        fixture.advanceTo(START + CellConfigurations.PATIENCE_MICROS + SECOND);
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
    }

    // ---- Freezes

    /** All sidecars reject the unit's writes for the same time, so that none runs at both cells, whoever sent it. */
    @Test
    void aFreezeRejectsWrites() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsConfiguration plan = CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.frozen("acme", to, START + 10 * SECOND, 6 * SECOND));
        CellsFixture fixture = fixture(plan);
        fixture.advanceTo(START + 10 * SECOND - 1);
        Ticket before = fixture.ask("acme", Effect.UNSAFE);
        assertEquals(from, before.cell());
        fixture.advanceTo(START + 12 * SECOND);
        Ticket refused = fixture.ask("acme", Effect.UNSAFE);
        assertEquals(-1, refused.cell());
        assertEquals(4 * SECOND, refused.retryAfterMicros());
        assertEquals(4 * SECOND, fixture.ask("acme", Effect.KEYED).retryAfterMicros());
        assertEquals(to, fixture.ask("acme", Effect.SAFE).cell());
        assertEquals(0, fixture.ask("u1", Effect.UNSAFE).retryAfterMicros());
        fixture.advanceTo(START + 16 * SECOND);
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
        assertEquals(to, fixture.ask("acme", Effect.KEYED).cell());
        // A sidecar that learns of the freeze late cannot know which writes it has sent: it rejects for the full time.
        CellsFixture late = new CellsFixture(plan, START + 40 * SECOND, 30);
        assertEquals(6 * SECOND, late.ask("acme", Effect.UNSAFE).retryAfterMicros());
        late.advanceTo(START + 46 * SECOND);
        assertEquals(to, late.ask("acme", Effect.UNSAFE).cell());
    }

    /** A freeze is the same at all sidecars, so none rolls back for a cell that it alone finds unhealthy. */
    @Test
    void aFreezeDoesNotRollBack() {
        int to = (homeOf("acme", THREE) + 1) % 3;
        String unitOfTarget = unitOf(to, THREE, 0);
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.frozen("acme", to, START + 10 * SECOND, 6 * SECOND)));
        for (int s = 0; s < 20; s++) {
            fixture.runSecond(unitOfTarget, Effect.UNSAFE, 50, false);
        }
        assertTrue(fixture.cells.isUnhealthy(to));
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
    }

    /** Retries of keyed requests go to the cell of the first request, during a freeze and after it. */
    @Test
    void aFreezeKeepsRetriesInTheCellOfTheFirstRequest() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.frozen("acme", to, START + 10 * SECOND, 1 * SECOND)));
        fixture.advanceTo(START + 9 * SECOND);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 70_000).cell());
        fixture.advanceTo(START + 10 * SECOND + 500_000);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 70_000).cell());
        assertTrue(fixture.ask("acme", Effect.KEYED, 70_001).retryAfterMicros() > 0);
        fixture.advanceTo(START + 12 * SECOND);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 70_000).cell());
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 70_001).cell());
    }

    // ---- Rollbacks

    /** If the new cell becomes unhealthy under the moved load, the move rolls back and starts again later. */
    @Test
    void anUnhealthyTargetCellRollsTheMoveBack() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        String unitOfTarget = unitOf(to, THREE, 0);
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 5 * SECOND, 60 * SECOND, 0)));
        for (int s = 0; s < 20; s++) {
            fixture.runSecond(unitOfTarget, Effect.UNSAFE, 50, s < 12);
        }
        assertTrue(fixture.cells.isUnhealthy(to));
        assertTrue(fixture.logged("rolls back: cell"));
        for (int i = 0; i < 100; i++) {
            assertEquals(from, fixture.ask("acme", Effect.SAFE).cell());
        }
        for (int s = 0; s < 120; s++) {
            fixture.runSecond(unitOfTarget, Effect.UNSAFE, 50, true);
        }
        assertFalse(fixture.cells.isUnhealthy(to));
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
    }

    // ---- Unhealthy cells

    @Test
    void onlyFewSafeRequestsSpillOver() {
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE_AND_RESERVED, 0.1, null));
        String unit = unitOf(0, THREE_AND_RESERVED, 0);
        for (int s = 0; s < 5; s++) {
            fixture.runSecond(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(fixture.cells.isUnhealthy(0));
        assertTrue(fixture.logged("cell c0 of pool p is unhealthy"));
        // The cell has a share of 1 in 3.5 of the pool's limit, and a tenth of that is for spillover.
        int bound = (int) Math.ceil(CellsFixture.REQUESTS / 3.5 / 10);
        int spillover = 0;
        for (int i = 0; i < 100; i++) {
            assertEquals(0, fixture.ask(unit, Effect.UNSAFE).cell());
            Ticket ticket = fixture.ask(unit, Effect.SAFE);
            spillover += ticket.isSpillover() ? 1 : 0;
            assertEquals(ticket.isSpillover(), ticket.cell() != 0);
            assertNotEquals(3, ticket.cell());
        }
        assertEquals(bound, spillover, 1);
        assertEquals(spillover, fixture.cells.spilloverInFlight(1) + fixture.cells.spilloverInFlight(2));
    }

    /** A fraction of the writes stays in the cell, to detect its recovery; keyed requests never spill over. */
    @Test
    void writesSpillOverWhereAllowed() {
        CellsFixture fixture = fixture(
                CellConfigurations.withGuestWrites(CellConfigurations.configuration(THREE_AND_RESERVED, 0.5, null)));
        String unit = unitOf(0, THREE_AND_RESERVED, 0);
        for (int s = 0; s < 5 && !fixture.cells.isUnhealthy(0); s++) {
            fixture.runSecond(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(fixture.cells.isUnhealthy(0));
        int spillover = 0;
        for (int i = 0; i < 2_000; i++) {
            Ticket write = fixture.ask(unit, Effect.UNSAFE);
            spillover += write.isSpillover() ? 1 : 0;
            fixture.done(write, true);
            Ticket keyed = fixture.ask(unit, Effect.KEYED);
            assertEquals(0, keyed.cell());
            fixture.done(keyed, true);
        }
        assertEquals(2_000 * (1 - CellRouter.TRIAL_FRACTION), spillover, 60);
    }

    /** The load that made the cell unhealthy must not spill over to the next cell. */
    @Test
    void aFloodingUnitDoesNotSpillOver() {
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE_AND_RESERVED, 0.5, null));
        List<String> others = List.of(unitOf(0, THREE_AND_RESERVED, 0), unitOf(0, THREE_AND_RESERVED, 1));
        String flooder = unitOf(0, THREE_AND_RESERVED, 2);
        for (int s = 0; s < 60; s++) {
            sendForOneSecond(fixture, others, flooder, 0, true);
        }
        for (int s = 0; s < 8; s++) {
            sendForOneSecond(fixture, others, flooder, 3, false);
        }
        assertTrue(fixture.cells.isUnhealthy(0));
        int spillover = 0;
        for (int i = 0; i < 100; i++) {
            Ticket ticket = fixture.ask(flooder, Effect.SAFE);
            assertEquals(0, ticket.cell());
            fixture.done(ticket, false);
            Ticket other = fixture.ask(others.get(i % 2), Effect.SAFE);
            spillover += other.isSpillover() ? 1 : 0;
            fixture.done(other, true);
        }
        assertTrue(spillover > 80, "only " + spillover);
    }

    @Test
    void withoutSpilloverRequestsStay() {
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE, 0, null));
        String unit = unitOf(0, THREE, 0);
        for (int s = 0; s < 5; s++) {
            fixture.runSecond(unit, Effect.UNSAFE, 50, false);
        }
        assertTrue(fixture.cells.isUnhealthy(0));
        assertEquals(0, fixture.ask(unit, Effect.SAFE).cell());
    }

    // ---- Quarantine

    private static void sendForOneSecond(
            CellsFixture fixture, List<String> others, String floodingUnit, int floodFactor, boolean inTime) {
        long end = fixture.now + SECOND;
        for (int i = 0; i < 60; i++) {
            fixture.advanceTo(fixture.now + 10_000);
            fixture.done(fixture.ask(others.get(i % others.size()), Effect.UNSAFE), inTime);
            for (int f = 0; f < floodFactor; f++) {
                fixture.done(fixture.ask(floodingUnit, Effect.UNSAFE), inTime);
            }
        }
        fixture.advanceTo(end);
    }

    @Test
    void aUnitThatFloodsAnUnhealthyCellIsQuarantinedAndReturns() {
        CellsFixture fixture =
                fixture(CellConfigurations.configuration(THREE_AND_RESERVED, 0, new Quarantine(3, 0.3, 30 * SECOND)));
        List<String> others = List.of(
                unitOf(0, THREE_AND_RESERVED, 0),
                unitOf(0, THREE_AND_RESERVED, 1),
                unitOf(0, THREE_AND_RESERVED, 2),
                unitOf(0, THREE_AND_RESERVED, 3));
        String flooder = unitOf(0, THREE_AND_RESERVED, 4);
        for (int s = 0; s < 60; s++) {
            sendForOneSecond(fixture, others, flooder, s % 10 == 0 ? 1 : 0, true);
        }
        assertEquals(0, fixture.ask(flooder, Effect.UNSAFE).cell());
        int rounds = 0;
        while (fixture.ask(flooder, Effect.UNSAFE).cell() == 0) {
            sendForOneSecond(fixture, others, flooder, 3, false);
            assertTrue(++rounds < 15, "not quarantined: " + fixture.log);
        }
        assertEquals(3, fixture.ask(flooder, Effect.SAFE).cell());
        others.forEach(u -> assertEquals(0, fixture.ask(u, Effect.UNSAFE).cell()));
        for (int s = 0; s < 45; s++) {
            sendForOneSecond(fixture, others, flooder, 0, true);
        }
        assertEquals(0, fixture.ask(flooder, Effect.UNSAFE).cell());
        assertFalse(fixture.cells.isUnhealthy(0));
    }

    /** A cell that becomes unhealthy while its units put their usual load on it: none of them is the cause. */
    @Test
    void withUsualLoadNoUnitIsQuarantined() {
        CellsFixture fixture =
                fixture(CellConfigurations.configuration(THREE_AND_RESERVED, 0, new Quarantine(3, 0.3, 30 * SECOND)));
        List<String> others = List.of(unitOf(0, THREE_AND_RESERVED, 0));
        String large = unitOf(0, THREE_AND_RESERVED, 4);
        for (int s = 0; s < 60; s++) {
            sendForOneSecond(fixture, others, large, 2, s < 40);
            assertEquals(0, fixture.ask(large, Effect.UNSAFE).cell());
        }
        assertTrue(fixture.cells.isUnhealthy(0));
    }

    // ---- Reconfiguration

    @Test
    void reconfigurationStartsNewMovesAndKeepsOthersGoing() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        MoveConfiguration move = CellConfigurations.move("acme", to, START, 0, 0);
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE, 0, null, move));
        fixture.advanceTo(START + 10 * SECOND);
        assertEquals(to, fixture.ask("acme", Effect.KEYED).cell());
        fixture.advanceTo(START + 20 * SECOND);
        assertEquals(List.of("m-acme DONE c" + to + " 100%"), fixture.cells.describeMigrations(fixture.now));
        fixture.cells.reconfigure(
                fixture.now,
                CellConfigurations.configuration(
                        THREE,
                        0,
                        null,
                        move,
                        CellConfigurations.move(
                                "other", (homeOf("other", THREE) + 1) % 3, fixture.now + 5 * SECOND, 0, 0)),
                1_000);
        assertEquals(
                "m-acme DONE c" + to + " 100%",
                fixture.cells.describeMigrations(fixture.now).get(0));
        // The move is replaced by an assignment to its target cell: no request goes elsewhere.
        fixture.cells.reconfigure(
                fixture.now, CellConfigurations.configuration(THREE, Map.of(Ids.of("acme"), to), 0, null), 1_000);
        assertEquals(to, fixture.ask("acme", Effect.KEYED).cell());
        assertEquals(to, fixture.ask("acme", Effect.UNSAFE).cell());
    }

    /** A move that is removed sends its unit home; keyed requests follow once no retry of older ones can come. */
    @Test
    void retriesStayInTheirCellWhenAMoveIsRemoved() {
        int from = homeOf("acme", THREE);
        int to = (from + 1) % 3;
        CellsFixture fixture = fixture(
                CellConfigurations.configuration(THREE, 0, null, CellConfigurations.move("acme", to, START, 0, 0)));
        fixture.advanceTo(START + 20 * SECOND);
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 9_000).cell());
        fixture.cells.reconfigure(fixture.now, CellConfigurations.configuration(THREE, 0, null), 1_000);
        assertEquals(from, fixture.ask("acme", Effect.UNSAFE).cell());
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 9_000).cell());
        fixture.advanceTo(fixture.now + CellConfigurations.WINDOW_MICROS - 1);
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 9_001).cell());
        fixture.advanceTo(fixture.now + 2);
        assertEquals(from, fixture.ask("acme", Effect.KEYED, 9_002).cell());
        assertEquals(to, fixture.ask("acme", Effect.KEYED, 9_001).cell());
    }

    @Test
    void anAddedCellMovesOnlyWhatItGets() {
        CellsFixture fixture = fixture(CellConfigurations.configuration(THREE, 0, null));
        assertTrue(fixture.cells.canApply(CellConfigurations.configuration(CellConfigurations.cells(4), 0, null)));
        assertFalse(fixture.cells.canApply(CellConfigurations.configuration(CellConfigurations.cells(2), 0, null)));
        List<CellAssignment.MovedServer> moved = fixture.cells.reconfigure(
                fixture.now, CellConfigurations.configuration(CellConfigurations.cells(4), 0, null), 1_000);
        assertTrue(moved.stream().filter(m -> m.to() == 3).count() >= 7);
        for (int i = 0; i < 200; i++) {
            int before = homeOf("u" + i, THREE);
            int after = fixture.ask("u" + i, Effect.UNSAFE).cell();
            assertTrue(after == before || after == 3);
        }
    }

    @Test
    void closeReleasesHeldRequests() {
        int to = (homeOf("acme", THREE) + 1) % 3;
        CellsFixture fixture = fixture(CellConfigurations.configuration(
                THREE, 0, null, CellConfigurations.move("acme", to, START + 10 * SECOND, 0, 500_000)));
        fixture.advanceTo(START + 9 * SECOND);
        fixture.ask("acme", Effect.UNSAFE);
        fixture.advanceTo(START + 10 * SECOND);
        Ticket held = fixture.ask("acme", Effect.UNSAFE);
        fixture.cells.close(fixture.now);
        assertEquals(List.of(held), fixture.released);
        assertTrue(held.cell() >= 0);
    }
}
