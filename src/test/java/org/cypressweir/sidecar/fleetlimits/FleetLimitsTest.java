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

/** What one of many instances may ask, and that all together keep the bounds. */
class FleetLimitsTest {

    private static final long SECOND = 1_000_000;

    private static FleetLimits plan(int instances, int rank, double rate) {
        return new FleetLimits(instances, rank, rate, 64, 2);
    }

    /** The most calls of all in any stretch of a second. */
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
    void allThatStartTogetherAskEvenly(int instances, double rate) {
        List<Long> calls = new ArrayList<>();
        for (int rank = 0; rank < instances; rank++) {
            SlottedPollPacer pacer = new SlottedPollPacer(plan(instances, rank, rate));
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

    /**
     * Restarts, failures, late timers and steps of the clock at random: never twice within a slot's round.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void whateverHappensTheRateHolds(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int instances = 500;
        double rate = 50;
        List<Long> calls = new ArrayList<>();
        for (int rank = 0; rank < instances; rank++) {
            SlottedPollPacer pacer = new SlottedPollPacer(plan(instances, rank, rate));
            long now = 900 * SECOND + random.nextLong(3 * SECOND);
            long last = -1;
            for (int i = 0; i < 12; i++) {
                long next = pacer.next(now);
                assertTrue(next > last, "seed " + seed + ": a slot is used twice");
                calls.add(next);
                last = next;
                // The call is answered, fails at once, or takes long; sometimes the clock steps back.
                now = Math.max(0, next + random.nextLong(12 * SECOND) - (random.nextInt(10) == 0 ? 5 * SECOND : 0));
                if (random.nextInt(4) == 0 && now > last) {
                    pacer = new SlottedPollPacer(plan(instances, rank, rate));
                }
            }
        }
        assertTrue(peak(calls) <= rate + 1, "seed " + seed + ": peak " + peak(calls));
    }

    @Test
    void aRoundIsAsLongAsAllNeed() {
        assertEquals(7_500_000, plan(3_000, 0, 400).askEveryMicros());
        assertEquals(0, new FleetLimits(5, 0, 0, 1, 0).askEveryMicros());
        assertThrows(IllegalArgumentException.class, () -> new SlottedPollPacer(new FleetLimits(5, 0, 0, 1, 0)));
        assertThrows(IllegalArgumentException.class, () -> new FleetLimits(5, 5, 0, 1, 0));
        assertEquals(3_750_000, new SlottedPollPacer(plan(3_000, 0, 400)).patienceMicros());
        assertEquals(1_000_000, new SlottedPollPacer(plan(10, 0, 400)).patienceMicros());
    }

    /** What does not divide evenly is kept by some, so that all together use the whole and no more. */
    @ParameterizedTest
    @CsvSource({"3000, 60, 64", "3000, 60, 10", "7, 3, 5", "1, 15, 4", "5000, 3, 1"})
    void idleConnectionsOfAllKeepTheBound(int instances, int servers, int perServer) {
        long all = 0;
        int least = Integer.MAX_VALUE;
        int most = 0;
        for (int rank = 0; rank < instances; rank++) {
            int idle = new FleetLimits(instances, rank, 0, perServer, 0).idle(servers);
            all += idle;
            least = Math.min(least, idle);
            most = Math.max(most, idle);
        }
        assertEquals((long) servers * perServer, all);
        assertTrue(most - least <= 1);
        assertEquals(Integer.MAX_VALUE, new FleetLimits(3, 0, 0, Integer.MAX_VALUE, 0).idle(servers));
    }

    @Test
    void probesOfAllKeepTheBound() {
        int instances = 300;
        int servers = 30;
        SplittableRandom random = new SplittableRandom(9);
        int sent = 0;
        int inFirst = 0;
        for (int rank = 0; rank < instances; rank++) {
            ProbeBudget budget = new ProbeBudget(plan(instances, rank, 0));
            // Each wants far more than there is, in bursts.
            for (long now = 0; now < 100 * SECOND; now += 1 + random.nextLong(200_000)) {
                boolean may = budget.spend(now, servers);
                sent += may ? 1 : 0;
                inFirst += may && now < SECOND ? 1 : 0;
            }
        }
        // Two a second at each of 30 servers: 60 a second for 100 seconds, less what has not filled up yet.
        assertTrue(sent <= 6_000 && sent > 5_500, "sent " + sent);
        assertTrue(inFirst <= 60, "all that begin together sent " + inFirst);
        assertTrue(new ProbeBudget(new FleetLimits(5, 0, 0, 1, 0)).spend(0, 1));
    }

    @Test
    void aQuietSpellSavesOnlyAFewProbes() {
        ProbeBudget budget = new ProbeBudget(plan(30, 0, 0));
        budget.spend(0, 30);
        int burst = 0;
        while (budget.spend(1_000 * SECOND, 30)) {
            burst++;
        }
        assertEquals((int) ProbeBudget.SAVED, burst);
    }

    @Test
    void callsThatFollowAPartKeepTheRateWhateverThePartDoes() {
        SplittableRandom random = new SplittableRandom(17);
        int instances = 40;
        double rate = 20;
        List<Long> calls = new ArrayList<>();
        for (int i = 0; i < instances; i++) {
            SharedPollPacer pacer = new SharedPollPacer(rate, random.nextDouble());
            long due = pacer.next(0, 1.0 / instances);
            // The part shrinks and grows back again and again, for all at once, and each is told anew.
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
    void partsOfIdleConnectionsAndProbesAreRoundedDownAndNotSavedUp() {
        FleetLimits plan = new FleetLimits(5, 0, 0, 15, 2, true);
        assertEquals(19, plan.idle(4, 0.95 / 3));
        assertEquals(57, plan.idle(4, 0.95));
        assertEquals(0, plan.idle(4, 0.01));
        assertEquals(Integer.MAX_VALUE, new FleetLimits(5, 0, 0, Integer.MAX_VALUE, 0, true).idle(4, 0.01));
        ProbeBudget budget = new ProbeBudget(plan);
        budget.spend(0, 4, 0.001);
        assertFalse(budget.spend(10 * SECOND, 4, 1), "ten seconds at the floor are none at the whole rate");
        assertTrue(budget.spend(11 * SECOND, 4, 1));
    }
}
