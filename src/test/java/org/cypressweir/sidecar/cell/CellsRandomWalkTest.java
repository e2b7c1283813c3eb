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
import org.cypressweir.sidecar.cell.Cells.Ticket;
import org.cypressweir.sidecar.cell.CellsConfiguration.Quarantine;
import org.cypressweir.testkit.CellPlans;
import org.cypressweir.testkit.CellsFixture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests, moves, reloads, sick spells and lists at random, held against what must always be so. */
class CellsRandomWalkTest {

    private static final long START = 50_000_000;
    private static final int UNITS = 12;
    private static final int STEPS = 30_000;

    private record Out(String unit, Effect effect, long token, Ticket ticket) {}

    private static final class Walk {
        final SplittableRandom random;
        final CellsFixture rig;
        final List<Out> out = new ArrayList<>();
        final Map<Ticket, Out> held = new HashMap<>();
        /** Where a keyed request was, and when last. */
        final Map<Long, long[]> keyed = new HashMap<>();

        final List<Long> tokens = new ArrayList<>();
        final Set<Integer> slow = new HashSet<>();
        final boolean fenced;
        long ids;
        int released;
        int holds;

        Walk(long seed) {
            random = new SplittableRandom(seed);
            fenced = seed % 2 == 0;
            rig = new CellsFixture(plan(), START, 24);
        }

        private CellsConfiguration plan() {
            List<MoveConfiguration> moves = new ArrayList<>();
            for (int u = 0; u < UNITS; u++) {
                if (random.nextInt(3) == 0) {
                    long now = rig == null ? START : rig.now;
                    moves.add(CellPlans.move(
                            "u" + u,
                            random.nextInt(4),
                            now + random.nextInt(20_000_000),
                            random.nextInt(2) * 10_000_000L,
                            fenced ? 300_000 : 0));
                }
            }
            return CellPlans.plan(
                    CellPlans.cellsAndReserve(3),
                    0.05,
                    random.nextInt(2) == 0 ? null : new Quarantine(3, 0.2, 5_000_000),
                    moves.toArray(MoveConfiguration[]::new));
        }

        void step(int n) {
            rig.to(rig.now + random.nextInt(8_000));
            collect();
            int what = random.nextInt(1_000);
            if (what < 500) {
                ask();
            } else if (what < 985 && !out.isEmpty()) {
                Out o = out.remove(random.nextInt(out.size()));
                rig.done(o.ticket, !slow.contains(o.ticket.cell()));
            } else if (what < 990) {
                long id = 1 + random.nextInt(24);
                rig.cells.listed(
                        rig.now,
                        ListKind.CHANGES,
                        List.of(CellPlans.server(
                                id, (int) id % 2, random.nextInt(2) == 0 ? Phase.REMOVED : Phase.READY)));
            } else if (what < 995) {
                int cell = random.nextInt(4);
                if (!slow.remove(cell)) {
                    slow.add(cell);
                }
            } else if (what < 996 && random.nextInt(8) == 0) {
                rig.cells.plan(rig.now, plan(), CellsFixture.REQUESTS);
            } else if (!held.isEmpty()) {
                Ticket leaves = held.keySet().iterator().next();
                rig.cells.left(rig.now, leaves);
                held.remove(leaves);
            }
            collect();
            check(n);
        }

        private void ask() {
            String unit = "u" + random.nextInt(UNITS);
            Effect effect = Effect.values()[random.nextInt(3)];
            boolean again = effect == Effect.KEYED && !tokens.isEmpty() && random.nextInt(4) == 0;
            long token = again ? tokens.get(Math.max(0, tokens.size() - 1 - random.nextInt(30))) : ++ids;
            if (effect == Effect.KEYED) {
                // A key belongs to the unit that it came with first.
                unit = "u" + token % UNITS;
                tokens.add(token);
            }
            Ticket t = rig.ask(unit, effect, token);
            Out o = new Out(unit, effect, token, t);
            if (t.cell() < 0) {
                assertTrue(effect != Effect.SAFE, "a safe request is held");
                held.put(t, o);
                holds++;
            } else {
                went(o);
            }
        }

        private void collect() {
            for (Ticket t : rig.released) {
                Out o = held.remove(t);
                assertTrue(o != null, "released twice, or never held");
                released++;
                went(o);
            }
            rig.released.clear();
        }

        private void went(Out o) {
            assertTrue(o.ticket.cell() >= 0 && o.ticket.cell() < 4);
            out.add(o);
            if (o.effect == Effect.KEYED) {
                long[] before = keyed.get(o.token);
                if (before != null && rig.now - before[1] < CellPlans.WINDOW) {
                    assertEquals(
                            before[0],
                            o.ticket.cell(),
                            "a repeat of " + o.token + " of " + o.unit + " went elsewhere: " + rig.log);
                }
                keyed.put(o.token, new long[] {o.ticket.cell(), rig.now});
            }
        }

        private void check(int n) {
            for (int c = 0; c < 4; c++) {
                int cell = c;
                assertEquals(
                        out.stream().filter(o -> o.ticket.cell() == cell).count(), rig.cells.inFlight(c), "step " + n);
                assertTrue(rig.cells.guests(c) <= 0.05 * CellsFixture.REQUESTS, "step " + n);
            }
            assertEquals(held.size(), rig.cells.held(), "step " + n);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void whatMustAlwaysBeSo(long seed) {
        Walk walk = new Walk(seed);
        try {
            for (int n = 0; n < STEPS; n++) {
                walk.step(n);
            }
            walk.rig.to(walk.rig.now + 60_000_000);
            walk.collect();
            assertTrue(walk.held.isEmpty(), "held for ever");
            List.copyOf(walk.out).forEach(o -> walk.rig.done(o.ticket, true));
            for (int c = 0; c < 4; c++) {
                assertEquals(0, walk.rig.cells.inFlight(c));
                assertEquals(0, walk.rig.cells.guests(c));
            }
            // With a fence and writes always out a move may get nowhere.
            assertTrue(walk.fenced || walk.rig.logged("writes go to cell"), "no move got anywhere");
            assertTrue(!walk.fenced || walk.holds > 0, "nothing was ever held");
        } catch (AssertionError e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }

    /** With a fence, writes of the moved unit are never at both cells; for many timings of ends. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aFenceKeepsWritesApart(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Cell> cells = CellPlans.cells(3);
        BitSet open = new BitSet();
        open.set(0, 3);
        int from = new Placement(cells, Map.of(), open).home(Ids.of("acme"));
        int to = (from + 1) % 3;
        CellsFixture rig = new CellsFixture(
                CellPlans.plan(cells, 0, null, CellPlans.move("acme", to, START + 6_000_000, 0, 400_000)), START, 24);
        List<Ticket> out = new ArrayList<>();
        Set<Ticket> held = new HashSet<>();
        int atNew = 0;
        for (int n = 0; n < 12_000; n++) {
            rig.to(rig.now + random.nextInt(10_000));
            rig.released.forEach(t -> {
                assertTrue(held.remove(t), "seed " + seed);
                out.add(t);
            });
            rig.released.clear();
            if (random.nextInt(10) < 4) {
                Ticket t = rig.ask("acme", Effect.UNSAFE);
                if (t.cell() < 0) {
                    held.add(t);
                } else {
                    out.add(t);
                }
            }
            while (out.size() > 40 || !out.isEmpty() && random.nextInt(10) < 4) {
                rig.done(out.remove(random.nextInt(out.size())), true);
            }
            rig.released.forEach(t -> {
                assertTrue(held.remove(t), "seed " + seed);
                out.add(t);
            });
            rig.released.clear();
            long old = out.stream().filter(t -> t.cell() == from).count();
            long moved = out.stream().filter(t -> t.cell() == to).count();
            atNew += moved > 0 ? 1 : 0;
            assertTrue(old == 0 || moved == 0, "seed " + seed + ", step " + n + ": " + old + " and " + moved);
        }
        assertTrue(atNew > 0, "seed " + seed + ": it never moved: " + rig.log);
    }
}
