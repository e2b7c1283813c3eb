package org.cypressweir.sidecar.websocket;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What servers can take of new connections, in made-up time. */
class TunnelAdmissionTest {

    private static final int ANY = Integer.MAX_VALUE;
    private static final long SECOND = 1_000_000;

    private static Rules cold(double from, long micros) {
        return new Rules(from, micros, 0, 0, 0, 0, 0);
    }

    /** Five thousand come at once: a second's worth is taken, and the others come back as a stream. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aWaveComesBackAsAStream(long seed) {
        TunnelAdmission<String> intake = new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(0.4, SECOND), ANY));
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<Long> coming = new PriorityQueue<>();
        for (int i = 0; i < 5_000; i++) {
            coming.add(10 * SECOND);
        }
        List<Long> taken = new ArrayList<>();
        List<Long> returns = new ArrayList<>();
        while (!coming.isEmpty()) {
            long now = coming.poll();
            long retry = intake.ask(now, 4, random);
            if (retry < 0) {
                taken.add(now);
            } else {
                assertTrue(retry > 0 && retry <= TunnelAdmission.LONGEST_MICROS, "told " + retry);
                coming.add(now + retry);
                returns.add(now + retry);
            }
        }
        // 400 at once and 400 a second from then on, in every window of 100 ms.
        for (int i = 0; i < taken.size(); i++) {
            int j = i;
            while (j < taken.size() && taken.get(j) < taken.get(i) + SECOND / 10) {
                j++;
            }
            assertTrue(j - i <= 441, "seed " + seed + ": " + (j - i) + " in 100 ms");
        }
        int[] perSecond = new int[60];
        returns.forEach(at -> perSecond[(int) Math.min(59, (at - 10 * SECOND) / SECOND)]++);
        for (int count : perSecond) {
            assertTrue(count <= 900, "seed " + seed + ": " + count + " come back in one second");
        }
        assertTrue(taken.get(4_999) < 26 * SECOND, "the last after " + taken.get(4_999) / SECOND + " s");
    }

    /** A cold server is full once it has its cold share, however many ask, and takes more as it warms up. */
    @Test
    void aColdServerKeepsToItsShare() {
        TunnelAdmission<String> intake = new TunnelAdmission<>(new TunnelAdmission.Rule(200, cold(0.4, SECOND), ANY));
        long start = 5 * SECOND;
        int before = 0;
        int after = 0;
        for (long now = start; now < start + 2 * SECOND; now += 100) {
            if (!intake.isFull(now, "cold")) {
                intake.tried(now, "cold", start);
                if (now < start + SECOND / 2) {
                    before++;
                } else if (now >= start + SECOND) {
                    after++;
                }
            }
        }
        // Half a second at 0.4 to 0.7 of 200 a second, and what may be saved up.
        assertTrue(before <= 14 + 0.5 * 200 * 0.7 && before >= 35, "cold: " + before);
        assertTrue(after >= 195 && after <= 215, "warm: " + after);
    }

    @Test
    void whoIsFullIsToldOnceWhenThatIsOver() {
        TunnelAdmission<String> intake = new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(1, 0), 2));
        intake.opened(SECOND, "a", 0);
        assertFalse(intake.isFull(SECOND, "a"));
        intake.opened(SECOND, "a", 0);
        assertTrue(intake.isFull(SECOND, "a"));
        assertTrue(intake.anyFull());
        assertEquals(List.of(), intake.freed(SECOND));
        intake.ended("a");
        assertEquals(List.of("a"), intake.freed(SECOND));
        assertEquals(List.of(), intake.freed(SECOND));
        assertEquals(1, intake.open("a"));
    }

    @Test
    void withoutServersNobodyIsTaken() {
        TunnelAdmission<String> intake = new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(1, 0), ANY));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 100; i++) {
            long retry = intake.ask(SECOND, 0, random);
            assertTrue(retry > 0 && retry <= TunnelAdmission.LONGEST_MICROS, "told " + retry);
        }
    }
}
