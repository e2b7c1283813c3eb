package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.sidecar.websocket.OpenTunnelLimits.Bound;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Bounds on open connections, and who makes room. */
class OpenTunnelLimitsTest {

    private record One(int number, long dataAt, boolean inMessage) implements DrainOrder.Leaver {}

    private static final List<Bound> TWO = List.of(new Bound("all", 3), new Bound("route", 2));

    @Test
    void theLongestQuietMakesRoom() {
        OpenTunnelLimits<One> census = new OpenTunnelLimits<>();
        census.enter(TWO, 100, 10).place().holds(new One(1, 50, true));
        census.enter(TWO, 100, 10).place().holds(new One(2, 80, false));
        // The first is within a message, however long.
        OpenTunnelLimits.Entry<One> entry = census.enter(TWO, 100, 10);
        assertEquals(List.of(new One(2, 80, false)), entry.evicted());
        assertNotNull(entry.place());
        assertEquals(2, census.count("route"));
        // A handshake that is still out holds its place and can't be evicted.
        assertNull(census.enter(TWO, 100, 10).place());
        entry.place().leave();
        entry.place().leave();
        assertEquals(1, census.count("route"));
    }

    @Test
    void whoHasJustSpokenStays() {
        OpenTunnelLimits<One> census = new OpenTunnelLimits<>();
        census.enter(TWO, 100, 10).place().holds(new One(1, 95, false));
        census.enter(TWO, 100, 10).place().holds(new One(2, 96, false));
        assertNull(census.enter(TWO, 100, 10).place());
        assertNull(census.enter(TWO, 1_000, 0).place());
        assertEquals(List.of(new One(1, 95, false)), census.enter(TWO, 105, 10).evicted());
    }

    /** No bound is ever passed, nobody is evicted for one that is refused, and counts are those of a list. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void randomWalkAgainstAList(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        OpenTunnelLimits<One> census = new OpenTunnelLimits<>();
        Map<OpenTunnelLimits<One>.Place, List<Bound>> in = new HashMap<>();
        Map<One, OpenTunnelLimits<One>.Place> open = new HashMap<>();
        int evictions = 0;
        for (int i = 0; i < 5_000; i++) {
            List<Bound> bounds = List.of(
                    new Bound("all", 40),
                    new Bound("r" + random.nextInt(3), 20),
                    new Bound("t" + random.nextInt(8), 9));
            if (random.nextInt(3) > 0) {
                OpenTunnelLimits.Entry<One> entry = census.enter(bounds, i, random.nextInt(2) * 200);
                for (One gone : entry.evicted()) {
                    assertTrue(!gone.inMessage() && i - gone.dataAt() >= 200, "seed " + seed);
                    in.remove(open.remove(gone));
                    evictions++;
                }
                if (entry.place() != null) {
                    in.put(entry.place(), bounds);
                    if (random.nextInt(4) > 0) {
                        One one = new One(i, i, random.nextInt(5) == 0);
                        entry.place().holds(one);
                        open.put(one, entry.place());
                    }
                }
            } else if (!in.isEmpty()) {
                OpenTunnelLimits<One>.Place leaving = new ArrayList<>(in.keySet()).get(random.nextInt(in.size()));
                leaving.leave();
                in.remove(leaving);
                open.values().remove(leaving);
            }
            for (Bound b : bounds) {
                long count = in.values().stream()
                        .filter(l -> l.stream().anyMatch(o -> o.name().equals(b.name())))
                        .count();
                assertEquals(count, census.count(b.name()), "seed " + seed + ", round " + i);
                assertTrue(count <= b.most(), "seed " + seed + ", round " + i);
            }
        }
        assertTrue(evictions > 20, "evicted " + evictions);
    }
}
