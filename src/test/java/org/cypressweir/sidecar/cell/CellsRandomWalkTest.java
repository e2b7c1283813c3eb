package org.cypressweir.sidecar.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Effect;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.sidecar.cell.CellRouter.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.testkit.CellConfigurations;
import org.cypressweir.testkit.CellsFixture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks invariants under random requests, moves, reloads, changes of health and server lists. */
class CellsRandomWalkTest {

    private static final long START = 50_000_000;
    private static final int UNITS = 12;
    private static final int STEPS = 30_000;

    private record SentRequest(String unit, Effect effect, long token, Ticket ticket) {}

    private static final class Walk {
        final SplittableRandom random;
        final CellsFixture fixture;
        final List<SentRequest> inFlight = new ArrayList<>();
        final Map<Ticket, SentRequest> held = new HashMap<>();
        /** The cell of each keyed request and when it was last used, by token. */
        final Map<Long, long[]> keyedRequests = new HashMap<>();

        final List<Long> tokens = new ArrayList<>();
        final Set<Integer> slowCells = new HashSet<>();
        final boolean fenced;
        long ids;
        int released;
        int holds;

        Walk(long seed) {
            random = new SplittableRandom(seed);
            fenced = seed % 2 == 0;
            fixture = new CellsFixture(randomConfiguration(), START, 24);
        }

        private CellsConfiguration randomConfiguration() {
            List<MoveConfiguration> moves = new ArrayList<>();
            for (int u = 0; u < UNITS; u++) {
                if (random.nextInt(3) == 0) {
                    long now = fixture == null ? START : fixture.now;
                    moves.add(CellConfigurations.move(
                            "u" + u,
                            random.nextInt(4),
                            now + random.nextInt(20_000_000),
                            random.nextInt(2) * 10_000_000L,
                            fenced ? 300_000 : 0));
                }
            }
            return CellConfigurations.configuration(
                    CellConfigurations.cellsAndReserve(3),
                    0.05,
                    random.nextInt(2) == 0 ? null : new Quarantine(3, 0.2, 5_000_000),
                    moves.toArray(MoveConfiguration[]::new));
        }

        void step(int n) {
            fixture.advanceTo(fixture.now + random.nextInt(8_000));
            collectReleased();
            int choice = random.nextInt(1_000);
            if (choice < 500) {
                sendRandomRequest();
            } else if (choice < 985 && !inFlight.isEmpty()) {
                SentRequest ended = inFlight.remove(random.nextInt(inFlight.size()));
                fixture.done(ended.ticket, !slowCells.contains(ended.ticket.cell()));
            } else if (choice < 990) {
                long id = 1 + random.nextInt(24);
                fixture.cells.listed(
                        fixture.now,
                        ListKind.CHANGES,
                        List.of(CellConfigurations.server(
                                id, (int) id % 2, random.nextInt(2) == 0 ? Phase.REMOVED : Phase.READY)));
            } else if (choice < 995) {
                int cell = random.nextInt(4);
                if (!slowCells.remove(cell)) {
                    slowCells.add(cell);
                }
            } else if (choice < 996 && random.nextInt(8) == 0) {
                fixture.cells.reconfigure(fixture.now, randomConfiguration(), CellsFixture.REQUESTS);
            } else if (!held.isEmpty()) {
                Ticket cancelled = held.keySet().iterator().next();
                fixture.cells.cancelHeld(fixture.now, cancelled);
                held.remove(cancelled);
            }
            collectReleased();
            checkCounts(n);
        }

        private void sendRandomRequest() {
            String unit = "u" + random.nextInt(UNITS);
            Effect effect = Effect.values()[random.nextInt(3)];
            boolean isRetry = effect == Effect.KEYED && !tokens.isEmpty() && random.nextInt(4) == 0;
            long token = isRetry ? tokens.get(Math.max(0, tokens.size() - 1 - random.nextInt(30))) : ++ids;
            if (effect == Effect.KEYED) {
                // A key always comes with the same unit.
                unit = "u" + token % UNITS;
                tokens.add(token);
            }
            Ticket ticket = fixture.ask(unit, effect, token);
            SentRequest request = new SentRequest(unit, effect, token, ticket);
            if (ticket.cell() < 0) {
                assertTrue(effect != Effect.SAFE, "a safe request is held");
                held.put(ticket, request);
                holds++;
            } else {
                recordSent(request);
            }
        }

        private void collectReleased() {
            for (Ticket t : fixture.released) {
                SentRequest request = held.remove(t);
                assertTrue(request != null, "released twice, or never held");
                released++;
                recordSent(request);
            }
            fixture.released.clear();
        }

        private void recordSent(SentRequest request) {
            assertTrue(request.ticket.cell() >= 0 && request.ticket.cell() < 4);
            inFlight.add(request);
            if (request.effect == Effect.KEYED) {
                long[] before = keyedRequests.get(request.token);
                if (before != null && fixture.now - before[1] < CellConfigurations.WINDOW_MICROS) {
                    assertEquals(
                            before[0],
                            request.ticket.cell(),
                            "a retry of " + request.token + " of " + request.unit + " went to another cell: "
                                    + fixture.log);
                }
                keyedRequests.put(request.token, new long[] {request.ticket.cell(), fixture.now});
            }
        }

        private void checkCounts(int n) {
            for (int c = 0; c < 4; c++) {
                int cell = c;
                assertEquals(
                        inFlight.stream().filter(o -> o.ticket.cell() == cell).count(),
                        fixture.cells.inFlight(c),
                        "step " + n);
                assertTrue(fixture.cells.spilloverInFlight(c) <= 0.05 * CellsFixture.REQUESTS, "step " + n);
            }
            assertEquals(held.size(), fixture.cells.held(), "step " + n);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void invariantsHold(long seed) {
        Walk walk = new Walk(seed);
        try {
            for (int n = 0; n < STEPS; n++) {
                walk.step(n);
            }
            walk.fixture.advanceTo(walk.fixture.now + 60_000_000);
            walk.collectReleased();
            assertTrue(walk.held.isEmpty(), "held for ever");
            List.copyOf(walk.inFlight).forEach(o -> walk.fixture.done(o.ticket, true));
            for (int c = 0; c < 4; c++) {
                assertEquals(0, walk.fixture.cells.inFlight(c));
                assertEquals(0, walk.fixture.cells.spilloverInFlight(c));
            }
            // With a fence and writes always in flight, it is allowed that no move gets to its end.
            assertTrue(walk.fenced || walk.fixture.logged("writes go to cell"), "no move switched its writes");
            assertTrue(!walk.fenced || walk.holds > 0, "nothing was ever held");
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }

    /** With a fence, writes of the moved unit never run at both cells, at whatever moments they end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void withAFenceWritesNeverRunAtBothCells(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Cell> cells = CellConfigurations.cells(3);
        BitSet open = new BitSet();
        open.set(0, 3);
        int from = new Placement(cells, Map.of(), open).home(Ids.of("acme"));
        int to = (from + 1) % 3;
        CellsFixture fixture = new CellsFixture(
                CellConfigurations.configuration(
                        cells, 0, null, CellConfigurations.move("acme", to, START + 6_000_000, 0, 400_000)),
                START,
                24);
        List<Ticket> inFlight = new ArrayList<>();
        Set<Ticket> held = new HashSet<>();
        int atNew = 0;
        for (int n = 0; n < 12_000; n++) {
            fixture.advanceTo(fixture.now + random.nextInt(10_000));
            fixture.released.forEach(t -> {
                assertTrue(held.remove(t), "seed " + seed);
                inFlight.add(t);
            });
            fixture.released.clear();
            if (random.nextInt(10) < 4) {
                Ticket t = fixture.ask("acme", Effect.UNSAFE);
                if (t.cell() < 0) {
                    held.add(t);
                } else {
                    inFlight.add(t);
                }
            }
            while (inFlight.size() > 40 || !inFlight.isEmpty() && random.nextInt(10) < 4) {
                fixture.done(inFlight.remove(random.nextInt(inFlight.size())), true);
            }
            fixture.released.forEach(t -> {
                assertTrue(held.remove(t), "seed " + seed);
                inFlight.add(t);
            });
            fixture.released.clear();
            long old = inFlight.stream().filter(t -> t.cell() == from).count();
            long moved = inFlight.stream().filter(t -> t.cell() == to).count();
            atNew += moved > 0 ? 1 : 0;
            assertTrue(old == 0 || moved == 0, "seed " + seed + ", step " + n + ": " + old + " and " + moved);
        }
        assertTrue(atNew > 0, "seed " + seed + ": it never moved: " + fixture.log);
    }
}
