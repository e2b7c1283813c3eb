package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The order and rate of closing tunnels, with simulated time and no sockets. */
class DrainOrderTest {

    private static final long SECOND = 1_000_000;

    private static final class FakeTunnel implements DrainOrder.Drainable {
        private boolean inMessage;
        private long dataAt;

        FakeTunnel(long dataAt) {
            this.dataAt = dataAt;
        }

        @Override
        public boolean inMessage() {
            return inMessage;
        }

        @Override
        public long lastDataAt() {
            return dataAt;
        }
    }

    @Test
    void longestIdleTunnelsCloseFirstAtTheReconnectRate() {
        DrainOrder<FakeTunnel> order = new DrainOrder<>(60 * SECOND, 10);
        List<FakeTunnel> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(new FakeTunnel(1_000 - i));
            order.add(all.get(i), 100 * SECOND);
        }
        List<FakeTunnel> closed = new ArrayList<>();
        for (long now = 100 * SECOND; now <= 102 * SECOND; now += 50_000) {
            closed.addAll(order.due(now, 2));
        }
        // 2 s, 2 other servers, 10 per second each, plus the first, which is closed immediately.
        assertEquals(41, closed.size(), 1);
        for (int i = 0; i < closed.size(); i++) {
            assertEquals(all.get(99 - i), closed.get(i));
        }
    }

    @Test
    void tunnelWithinAMessageIsNotClosedBeforeItEnds() {
        DrainOrder<FakeTunnel> order = new DrainOrder<>(SECOND, 1_000);
        FakeTunnel active = new FakeTunnel(0);
        active.inMessage = true;
        order.add(active, 10 * SECOND);
        assertEquals(List.of(), order.due(10 * SECOND, 5));
        assertEquals(List.of(), order.due(12 * SECOND, 5));
        active.inMessage = false;
        assertEquals(List.of(active), order.due(12 * SECOND + 1, 5));
        FakeTunnel endless = new FakeTunnel(0);
        endless.inMessage = true;
        order.add(endless, 10 * SECOND);
        assertEquals(List.of(), order.due(11 * SECOND + DrainOrder.MAX_MESSAGE_WAIT_MICROS - 1, 5));
        assertEquals(List.of(endless), order.due(11 * SECOND + DrainOrder.MAX_MESSAGE_WAIT_MICROS, 5));
    }

    @Test
    void withoutOtherServersTunnelsStayUntilTheDeadline() {
        DrainOrder<FakeTunnel> order = new DrainOrder<>(SECOND, 1_000);
        for (int i = 0; i < 5; i++) {
            order.add(new FakeTunnel(i), 10 * SECOND);
        }
        assertEquals(0, order.due(10 * SECOND + 900_000, 0).size());
        assertEquals(5, order.due(11 * SECOND, 0).size());
        assertEquals(0, order.size());
    }

    @Test
    void cancelledDrainClosesNoTunnel() {
        DrainOrder<FakeTunnel> order = new DrainOrder<>(SECOND, 1);
        FakeTunnel one = new FakeTunnel(1);
        FakeTunnel two = new FakeTunnel(2);
        order.add(one, 10 * SECOND);
        order.add(two, 10 * SECOND);
        assertEquals(List.of(one), order.due(10 * SECOND, 1));
        order.remove(two);
        assertEquals(List.of(), order.due(60 * SECOND, 1));
    }

    /**
     * Each tunnel is closed once, none faster than the rate before the deadline, none within a message until the final
     * time-out, and all are closed in the end.
     */
    @Test
    void randomWalkKeepsOrderRateAndDeadline() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long drain = 1 + random.nextLong(5 * SECOND);
            int rate = 1 + random.nextInt(200);
            DrainOrder<FakeTunnel> order = new DrainOrder<>(drain, rate);
            Map<FakeTunnel, Long> drainStartedAt = new HashMap<>();
            Map<FakeTunnel, Long> closed = new HashMap<>();
            List<FakeTunnel> all = new ArrayList<>();
            long now = 50 * SECOND;
            int otherServers = random.nextInt(4);
            double maxEarly = 1;
            for (int step = 0; step < 400; step++) {
                long elapsed = 1 + random.nextLong(100_000);
                now += elapsed;
                otherServers = random.nextInt(30) == 0 ? random.nextInt(4) : otherServers;
                if (step < 200 && random.nextInt(3) == 0) {
                    FakeTunnel fake = new FakeTunnel(now - random.nextLong(10 * SECOND));
                    all.add(fake);
                    drainStartedAt.put(fake, now);
                    order.add(fake, now);
                }
                for (FakeTunnel fake : all) {
                    if (random.nextInt(20) == 0) {
                        fake.inMessage = !fake.inMessage;
                        fake.dataAt = now;
                    }
                }
                maxEarly = Math.max(1, (double) rate * otherServers * elapsed / SECOND) + 1;
                List<FakeTunnel> due = order.due(now, otherServers);
                long early = 0;
                for (FakeTunnel fake : due) {
                    String title = "seed " + seed + ", step " + step;
                    assertEquals(null, closed.put(fake, now), title + ": closed twice");
                    boolean overdue = now - drainStartedAt.get(fake) >= drain;
                    early += overdue ? 0 : 1;
                    assertTrue(
                            !fake.inMessage
                                    || now - drainStartedAt.get(fake) >= drain + DrainOrder.MAX_MESSAGE_WAIT_MICROS,
                            title + ": closed within a message");
                }
                assertTrue(early <= maxEarly, "seed " + seed + ": " + early + " closed at once, limit " + maxEarly);
                assertFalse(otherServers == 0 && early > 0, "seed " + seed + ": closed early without other servers");
            }
            order.due(now + drain + DrainOrder.MAX_MESSAGE_WAIT_MICROS, 0).forEach(f -> closed.put(f, 0L));
            assertEquals(all.size(), closed.size(), "seed " + seed);
        }
    }
}
