package org.cypressweir.sidecar.fleetlimits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The share of each instance, and that all instances together keep the limits. */
class FleetLimitsTest {

    private static final long SECOND = 1_000_000;

    private static FleetLimits limits(int instances, int rank, double rate) {
        return new FleetLimits(instances, rank, rate, 64, 2);
    }

    /** The highest number of calls by all instances within any second. */
    private static int peak(List<Long> calls) {
        Collections.sort(calls);
        int peak = 0;
        int from = 0;
        for (int i = 0; i < calls.size(); i++) {
            while (calls.get(i) - calls.get(from) >= SECOND) {
                from++;
            }
            peak = Math.max(peak, i - from + 1);
        }
        return peak;
    }

    @ParameterizedTest
    @CsvSource({"3000, 400", "3000, 1000", "10, 1", "1, 0.2", "7777, 123.4"})
    void instancesThatStartTogetherSpreadTheirCalls(int instances, double rate) {
        List<Long> calls = new ArrayList<>();
        for (int rank = 0; rank < instances; rank++) {
            SlottedPollPacer pacer = new SlottedPollPacer(limits(instances, rank, rate));
            long now = 1_700_000_000L * SECOND;
            for (int round = 0; round < 3; round++) {
                long next = pacer.next(now);
                assertTrue(next >= now);
                calls.add(next);
                now = next + 1;
            }
        }
        assertTrue(peak(calls) <= Math.ceil(rate) + 1, "peak " + peak(calls));
    }

    /** Random restarts, failures, late timers and clock steps: no slot is used twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void randomEventsKeepTheRate(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int instances = 500;
        double rate = 50;
        List<Long> calls = new ArrayList<>();
        for (int rank = 0; rank < instances; rank++) {
            SlottedPollPacer pacer = new SlottedPollPacer(limits(instances, rank, rate));
            long now = 900 * SECOND + random.nextLong(3 * SECOND);
            long last = -1;
            for (int i = 0; i < 12; i++) {
                long next = pacer.next(now);
                assertTrue(next > last, "seed " + seed + ": a slot was used twice");
                calls.add(next);
                last = next;
                // The call succeeds, fails at once, or takes long; sometimes the clock steps back.
                now = Math.max(0, next + random.nextLong(12 * SECOND) - (random.nextInt(10) == 0 ? 5 * SECOND : 0));
                if (random.nextInt(4) == 0 && now > last) {
                    pacer = new SlottedPollPacer(limits(instances, rank, rate));
                }
            }
        }
        assertTrue(peak(calls) <= rate + 1, "seed " + seed + ": peak " + peak(calls));
    }

    @Test
    void aRoundIsAsLongAsAllInstancesNeed() {
        assertEquals(7_500_000, limits(3_000, 0, 400).pollIntervalMicros());
        assertEquals(0, new FleetLimits(5, 0, 0, 1, 0).pollIntervalMicros());
        assertThrows(IllegalArgumentException.class, () -> new SlottedPollPacer(new FleetLimits(5, 0, 0, 1, 0)));
        assertThrows(IllegalArgumentException.class, () -> new FleetLimits(5, 5, 0, 1, 0));
        assertEquals(3_750_000, new SlottedPollPacer(limits(3_000, 0, 400)).timeoutMicros());
        assertEquals(1_000_000, new SlottedPollPacer(limits(10, 0, 400)).timeoutMicros());
    }

    /** Some instances keep the remainder of the division, so that all together keep exactly the limit. */
    @ParameterizedTest
    @CsvSource({"3000, 60, 64", "3000, 60, 10", "7, 3, 5", "1, 15, 4", "5000, 3, 1"})
    void idleConnectionsOfAllInstancesKeepTheLimit(int instances, int servers, int perServer) {
        long all = 0;
        int least = Integer.MAX_VALUE;
        int most = 0;
        for (int rank = 0; rank < instances; rank++) {
            int idle = new FleetLimits(instances, rank, 0, perServer, 0).maxIdleConnections(servers);
            all += idle;
            least = Math.min(least, idle);
            most = Math.max(most, idle);
        }
        assertEquals((long) servers * perServer, all);
        assertTrue(most - least <= 1);
        assertEquals(Integer.MAX_VALUE, new FleetLimits(3, 0, 0, Integer.MAX_VALUE, 0).maxIdleConnections(servers));
    }

    @Test
    void probesOfAllInstancesKeepTheLimit() {
        int instances = 300;
        int servers = 30;
        SplittableRandom random = new SplittableRandom(9);
        int sent = 0;
        int inFirst = 0;
        for (int rank = 0; rank < instances; rank++) {
            ProbeBudget budget = new ProbeBudget(limits(instances, rank, 0));
            // Each instance tries to send far more probes than allowed, in bursts.
            for (long now = 0; now < 100 * SECOND; now += 1 + random.nextLong(200_000)) {
                boolean allowed = budget.trySpend(now, servers);
                sent += allowed ? 1 : 0;
                inFirst += allowed && now < SECOND ? 1 : 0;
            }
        }
        // 2 per second at each of 30 servers: 60 per second for 100 s, less what remains in the buckets.
        assertTrue(sent <= 6_000 && sent > 5_500, "sent " + sent);
        assertTrue(inFirst <= 60, "probes in the first second: " + inFirst);
        assertTrue(new ProbeBudget(new FleetLimits(5, 0, 0, 1, 0)).trySpend(0, 1));
    }

    @Test
    void theProbeBudgetHasALimitedCapacity() {
        ProbeBudget budget = new ProbeBudget(limits(30, 0, 0));
        budget.trySpend(0, 30);
        int burst = 0;
        while (budget.trySpend(1_000 * SECOND, 30)) {
            burst++;
        }
        assertEquals((int) ProbeBudget.CAPACITY, burst);
    }

    @Test
    void callsKeepTheRateWhileSharesChange() {
        SplittableRandom random = new SplittableRandom(17);
        int instances = 40;
        double rate = 20;
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            SharedPollPacer pacer = new SharedPollPacer(rate, random.nextDouble());
            long due = pacer.next(0, 1.0 / instances);
            // The share of all instances shrinks and grows every 10 s, and each reschedules its call then.
            for (long now = 0; now < 200 * SECOND; now += 10_000) {
                if (now % (10 * SECOND) == 0) {
                    due = pacer.next(now, (now / (10 * SECOND) % 2 == 0 ? 1.0 : 0.25) / instances);
                } else if (due <= now) {
                    calls.add(now);
                    due = pacer.next(now, (now / (10 * SECOND) % 2 == 0 ? 1.0 : 0.25) / instances);
                }
            }
        }
        calls.sort(null);
        for (int from = 0; from < calls.size(); from += 7) {
            for (int to = from; to < calls.size(); to += 7) {
                double allowed = rate * (calls.get(to) - calls.get(from) + 10_000) / 1e6 + instances;
                assertTrue(to - from + 1 <= allowed, (to - from + 1) + " calls, " + allowed + " allowed");
            }
        }
        assertTrue(calls.size() > 0.9 * 200 * rate * 0.625, "calls: " + calls.size());
    }

    @Test
    void sharesAreRoundedDownAndProbesAreNotAccumulated() {
        FleetLimits limits = new FleetLimits(5, 0, 0, 15, 2, true);
        assertEquals(19, limits.maxIdleConnections(4, 0.95 / 3));
        assertEquals(57, limits.maxIdleConnections(4, 0.95));
        assertEquals(0, limits.maxIdleConnections(4, 0.01));
        assertEquals(
                Integer.MAX_VALUE, new FleetLimits(5, 0, 0, Integer.MAX_VALUE, 0, true).maxIdleConnections(4, 0.01));
        ProbeBudget budget = new ProbeBudget(limits);
        budget.trySpend(0, 4, 0.001);
        assertFalse(
                budget.trySpend(10 * SECOND, 4, 1), "10 s at a minimal share must not count as 10 s at the full rate");
        assertTrue(budget.trySpend(11 * SECOND, 4, 1));
    }
}
