package org.cypressweir.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares queue, retry budget, counters and accounts with plain implementations of their definitions. */
class PendingRequestQueueTest {

    private static final class Waiting extends PendingRequestQueue.Item {
        private final int lane;

        Waiting(int lane) {
            this.lane = lane;
        }
    }

    @Test
    void newestAndOldestAreThoseOfAPlainList() {
        long seed = 5;
        SplittableRandom random = new SplittableRandom(seed);
        PendingRequestQueue<Waiting> queue = new PendingRequestQueue<>(3);
        List<Waiting> plain = new ArrayList<>();
        for (int round = 0; round < 20_000; round++) {
            if (plain.isEmpty() || random.nextInt(100) < 52) {
                Waiting one = new Waiting(random.nextInt(6));
                queue.add(one, one.lane);
                plain.add(one);
            } else {
                Waiting one = plain.remove(random.nextInt(plain.size()));
                queue.remove(one);
                queue.remove(one);
            }
            String title = "seed " + seed + ", round " + round;
            assertEquals(plain.size(), queue.size(), title);
            Waiting newest = null;
            for (int kind = 2; kind >= 0; kind--) {
                int k = kind;
                newest = plain.stream()
                        .filter(w -> w.lane % 3 == k)
                        .reduce((x, y) -> y)
                        .orElse(newest);
            }
            assertEquals(newest, queue.newest(), title);
            int lane = random.nextInt(6);
            assertEquals(
                    plain.stream().filter(w -> w.lane == lane).findFirst().orElse(null),
                    queue.oldest(lane, w -> true),
                    title);
        }
        queue.forEach(queue::remove);
        assertEquals(0, queue.size());
    }

    /** Checks all windows that begin with a spending by brute force. */
    @Test
    void budgetHoldsInEveryWindow() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double floor = 1 + random.nextInt(4);
            double part = random.nextDouble() / 5;
            SlidingWindowBudget budget = new SlidingWindowBudget(1_000, floor, part);
            List<long[]> spent = new ArrayList<>();
            long earned = 0;
            long now = 0;
            for (int i = 0; i < 3_000; i++) {
                now += random.nextInt(20);
                earned += random.nextInt(3);
                long at = now;
                long had = earned;
                List<long[]> within =
                        spent.stream().filter(s -> at - s[0] <= 1_000).toList();
                boolean allowed = 1 <= floor;
                for (int from = 0; from < within.size(); from++) {
                    allowed &= within.size() - from + 1 <= floor + part * (had - within.get(from)[1]);
                }
                assertEquals(allowed, budget.allows(now, earned), "seed " + seed + ", step " + i);
                if (allowed) {
                    budget.spend(now, earned);
                    spent.add(new long[] {now, earned});
                }
            }
        }
    }

    @Test
    void countersCountByName() {
        CounterMap counters = new CounterMap();
        assertEquals(1, counters.add("a", 1));
        assertEquals(2, counters.add("a", 1));
        assertEquals(0, counters.get("b"));
        assertEquals(0, counters.add("a", -2));
        assertEquals(0, counters.get("a"));
    }

    @Test
    void spendingMoreThanTheShareIsBeyondIt() {
        WeightedAccounts shares = new WeightedAccounts(List.of(3.0, 1.0), 5);
        int beyond = 0;
        for (int i = 0; i < 1_000; i++) {
            beyond += shares.spend(i % 4 == 0 ? 1 : 0) ? 1 : 0;
        }
        assertEquals(0, beyond, "each within its share");
        for (int i = 0; i < 1_000; i++) {
            beyond += shares.spend(1) ? 1 : 0;
        }
        // All but its credit: an account that keeps spending past its share stays in debt.
        assertTrue(beyond > 985 && beyond < 1_000, "beyond " + beyond);
        assertEquals(false, shares.spend(0));
        assertEquals(false, new WeightedAccounts(List.of(), 5).spend(0));
    }
}
