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

/** Who is closed when, by hand: no clock, no sockets. */
class DrainOrderTest {

    private static final long SECOND = 1_000_000;

    private static final class Fake implements DrainOrder.Leaver {
        private boolean inMessage;
        private long dataAt;

        Fake(long dataAt) {
            this.dataAt = dataAt;
        }

        @Override
        public boolean inMessage() {
            return inMessage;
        }

        @Override
        public long dataAt() {
            return dataAt;
        }
    }

    @Test
    void theLongestQuietGoFirstAtTheRateOfTheOthers() {
        DrainOrder<Fake> order = new DrainOrder<>(60 * SECOND, 10);
        List<Fake> all = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            all.add(new Fake(1_000 - i));
            order.leaves(all.get(i), 100 * SECOND);
        }
        List<Fake> closed = new ArrayList<>();
        for (long now = 100 * SECOND; now <= 102 * SECOND; now += 50_000) {
            closed.addAll(order.due(now, 2));
        }
        // 2 s, 2 others, 10 a second each, and the one that is let go at once.
        assertEquals(41, closed.size(), 1);
        for (int i = 0; i < closed.size(); i++) {
            assertEquals(all.get(99 - i), closed.get(i));
        }
    }

    @Test
    void withinAMessageNobodyIsClosedBeforeItEnds() {
        DrainOrder<Fake> order = new DrainOrder<>(SECOND, 1_000);
        Fake talking = new Fake(0);
        talking.inMessage = true;
        order.leaves(talking, 10 * SECOND);
        assertEquals(List.of(), order.due(10 * SECOND, 5));
        assertEquals(List.of(), order.due(12 * SECOND, 5));
        talking.inMessage = false;
        assertEquals(List.of(talking), order.due(12 * SECOND + 1, 5));
        Fake endless = new Fake(0);
        endless.inMessage = true;
        order.leaves(endless, 10 * SECOND);
        assertEquals(List.of(), order.due(11 * SECOND + DrainOrder.LONGEST_MESSAGE_MICROS - 1, 5));
        assertEquals(List.of(endless), order.due(11 * SECOND + DrainOrder.LONGEST_MESSAGE_MICROS, 5));
    }

    @Test
    void withNowhereToGoTheyStayUntilTheLastMoment() {
        DrainOrder<Fake> order = new DrainOrder<>(SECOND, 1_000);
        for (int i = 0; i < 5; i++) {
            order.leaves(new Fake(i), 10 * SECOND);
        }
        assertEquals(0, order.due(10 * SECOND + 900_000, 0).size());
        assertEquals(5, order.due(11 * SECOND, 0).size());
        assertEquals(0, order.size());
    }

    @Test
    void aDrainThatIsTakenBackEndsNobody() {
        DrainOrder<Fake> order = new DrainOrder<>(SECOND, 1);
        Fake one = new Fake(1);
        Fake two = new Fake(2);
        order.leaves(one, 10 * SECOND);
        order.leaves(two, 10 * SECOND);
        assertEquals(List.of(one), order.due(10 * SECOND, 1));
        order.stays(two);
        assertEquals(List.of(), order.due(60 * SECOND, 1));
    }

    /**
     * Each is closed once, none within a message but at the very end, none before its order, all in the
     * end.
     */
    @Test
    void randomWalkKeepsItsPromises() {
        for (long seed = 1; seed <= 200; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long drain = 1 + random.nextLong(5 * SECOND);
            int rate = 1 + random.nextInt(200);
            DrainOrder<Fake> order = new DrainOrder<>(drain, rate);
            Map<Fake, Long> told = new HashMap<>();
            Map<Fake, Long> closed = new HashMap<>();
            List<Fake> all = new ArrayList<>();
            long now = 50 * SECOND;
            int others = random.nextInt(4);
            double most = 1;
            for (int step = 0; step < 400; step++) {
                long passed = 1 + random.nextLong(100_000);
                now += passed;
                others = random.nextInt(30) == 0 ? random.nextInt(4) : others;
                if (step < 200 && random.nextInt(3) == 0) {
                    Fake fake = new Fake(now - random.nextLong(10 * SECOND));
                    all.add(fake);
                    told.put(fake, now);
                    order.leaves(fake, now);
                }
                for (Fake fake : all) {
                    if (random.nextInt(20) == 0) {
                        fake.inMessage = !fake.inMessage;
                        fake.dataAt = now;
                    }
                }
                most = Math.max(1, (double) rate * others * passed / SECOND) + 1;
                List<Fake> due = order.due(now, others);
                long early = 0;
                for (Fake fake : due) {
                    String title = "seed " + seed + ", step " + step;
                    assertEquals(null, closed.put(fake, now), title + ": twice");
                    boolean last = now - told.get(fake) >= drain;
                    early += last ? 0 : 1;
                    assertTrue(
                            !fake.inMessage || now - told.get(fake) >= drain + DrainOrder.LONGEST_MESSAGE_MICROS,
                            title + ": within a message");
                }
                assertTrue(early <= most, "seed " + seed + ": " + early + " at once, at most " + most);
                assertFalse(others == 0 && early > 0, "seed " + seed + ": nowhere to go");
            }
            order.due(now + drain + DrainOrder.LONGEST_MESSAGE_MICROS, 0).forEach(f -> closed.put(f, 0L));
            assertEquals(all.size(), closed.size(), "seed " + seed);
        }
    }
}
