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

/** Limits on open tunnels, and eviction of idle ones. */
class OpenTunnelLimitsTest {

    private record FakeTunnel(int number, long lastDataAt, boolean inMessage) implements DrainOrder.Drainable {}

    private static final List<Bound> TWO_BOUNDS = List.of(new Bound("all", 3), new Bound("route", 2));

    @Test
    void longestIdleTunnelIsEvicted() {
        OpenTunnelLimits<FakeTunnel> limits = new OpenTunnelLimits<>();
        limits.acquire(TWO_BOUNDS, 100, 10).slot().setTunnel(new FakeTunnel(1, 50, true));
        limits.acquire(TWO_BOUNDS, 100, 10).slot().setTunnel(new FakeTunnel(2, 80, false));
        // The first is idle for longer, but within a message.
        OpenTunnelLimits.Decision<FakeTunnel> entry = limits.acquire(TWO_BOUNDS, 100, 10);
        assertEquals(List.of(new FakeTunnel(2, 80, false)), entry.evicted());
        assertNotNull(entry.slot());
        assertEquals(2, limits.count("route"));
        // A handshake in progress keeps its slot and can't be evicted.
        assertNull(limits.acquire(TWO_BOUNDS, 100, 10).slot());
        entry.slot().release();
        entry.slot().release();
        assertEquals(1, limits.count("route"));
    }

    @Test
    void recentlyActiveTunnelIsNotEvicted() {
        OpenTunnelLimits<FakeTunnel> limits = new OpenTunnelLimits<>();
        limits.acquire(TWO_BOUNDS, 100, 10).slot().setTunnel(new FakeTunnel(1, 95, false));
        limits.acquire(TWO_BOUNDS, 100, 10).slot().setTunnel(new FakeTunnel(2, 96, false));
        assertNull(limits.acquire(TWO_BOUNDS, 100, 10).slot());
        assertNull(limits.acquire(TWO_BOUNDS, 1_000, 0).slot());
        assertEquals(
                List.of(new FakeTunnel(1, 95, false)),
                limits.acquire(TWO_BOUNDS, 105, 10).evicted());
    }

    /** No bound is ever exceeded, evicted tunnels were idle, and the counts equal those of a simple model. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void randomWalkAgreesWithASimpleModel(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        OpenTunnelLimits<FakeTunnel> limits = new OpenTunnelLimits<>();
        Map<OpenTunnelLimits<FakeTunnel>.Slot, List<Bound>> in = new HashMap<>();
        Map<FakeTunnel, OpenTunnelLimits<FakeTunnel>.Slot> open = new HashMap<>();
        int evictions = 0;
        for (int i = 0; i < 5_000; i++) {
            List<Bound> bounds = List.of(
                    new Bound("all", 40),
                    new Bound("r" + random.nextInt(3), 20),
                    new Bound("t" + random.nextInt(8), 9));
            if (random.nextInt(3) > 0) {
                OpenTunnelLimits.Decision<FakeTunnel> entry = limits.acquire(bounds, i, random.nextInt(2) * 200);
                for (FakeTunnel gone : entry.evicted()) {
                    assertTrue(!gone.inMessage() && i - gone.lastDataAt() >= 200, "seed " + seed);
                    in.remove(open.remove(gone));
                    evictions++;
                }
                if (entry.slot() != null) {
                    in.put(entry.slot(), bounds);
                    if (random.nextInt(4) > 0) {
                        FakeTunnel one = new FakeTunnel(i, i, random.nextInt(5) == 0);
                        entry.slot().setTunnel(one);
                        open.put(one, entry.slot());
                    }
                }
            } else if (!in.isEmpty()) {
                OpenTunnelLimits<FakeTunnel>.Slot leaving = new ArrayList<>(in.keySet()).get(random.nextInt(in.size()));
                leaving.release();
                in.remove(leaving);
                open.values().remove(leaving);
            }
            for (Bound b : bounds) {
                long count = in.values().stream()
                        .filter(l -> l.stream().anyMatch(o -> o.key().equals(b.key())))
                        .count();
                assertEquals(count, limits.count(b.key()), "seed " + seed + ", round " + i);
                assertTrue(count <= b.maxOpen(), "seed " + seed + ", round " + i);
            }
        }
        assertTrue(evictions > 20, "evicted " + evictions);
    }
}
