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

/** Rate limits for new tunnels, in simulated time. */
class TunnelAdmissionTest {

    private static final int UNLIMITED = Integer.MAX_VALUE;
    private static final long SECOND = 1_000_000;

    private static Rules cold(double from, long micros) {
        return new Rules(from, micros, 0, 0, 0, 0, 0);
    }

    /** Of 5,000 simultaneous clients one second's worth is admitted; the others return spread over time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void burstOfClientsReturnsSpreadOverTime(long seed) {
        TunnelAdmission<String> admission =
                new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(0.4, SECOND), UNLIMITED));
        SplittableRandom random = new SplittableRandom(seed);
        PriorityQueue<Long> arrivals = new PriorityQueue<>();
        for (int i = 0; i < 5_000; i++) {
            arrivals.add(10 * SECOND);
        }
        List<Long> admitted = new ArrayList<>();
        List<Long> returns = new ArrayList<>();
        while (!arrivals.isEmpty()) {
            long now = arrivals.poll();
            long retry = admission.admit(now, 4, random);
            if (retry < 0) {
                admitted.add(now);
            } else {
                assertTrue(retry > 0 && retry <= TunnelAdmission.MAX_RETRY_MICROS, "told " + retry);
                arrivals.add(now + retry);
                returns.add(now + retry);
            }
        }
        // In each window of 100 ms at most the burst of 400 plus 100 ms at 400 per second.
        for (int i = 0; i < admitted.size(); i++) {
            int j = i;
            while (j < admitted.size() && admitted.get(j) < admitted.get(i) + SECOND / 10) {
                j++;
            }
            assertTrue(j - i <= 441, "seed " + seed + ": " + (j - i) + " in 100 ms");
        }
        int[] perSecond = new int[60];
        returns.forEach(at -> perSecond[(int) Math.min(59, (at - 10 * SECOND) / SECOND)]++);
        for (int count : perSecond) {
            assertTrue(count <= 900, "seed " + seed + ": " + count + " return in one second");
        }
        assertTrue(admitted.get(4_999) < 26 * SECOND, "the last admitted after " + admitted.get(4_999) / SECOND + " s");
    }

    /** A server in slow start accepts only its share, however many clients ask, and more as it warms up. */
    @Test
    void coldServerIsLimitedToItsSlowStartShare() {
        TunnelAdmission<String> admission =
                new TunnelAdmission<>(new TunnelAdmission.Rule(200, cold(0.4, SECOND), UNLIMITED));
        long start = 5 * SECOND;
        int before = 0;
        int after = 0;
        for (long now = start; now < start + 2 * SECOND; now += 100) {
            if (!admission.isFull(now, "cold")) {
                admission.handshakeSent(now, "cold", start);
                if (now < start + SECOND / 2) {
                    before++;
                } else if (now >= start + SECOND) {
                    after++;
                }
            }
        }
        // Half a second at 0.4 to 0.7 of 200 per second, plus the accumulated tokens.
        assertTrue(before <= 14 + 0.5 * 200 * 0.7 && before >= 35, "cold: " + before);
        assertTrue(after >= 195 && after <= 215, "warm: " + after);
    }

    @Test
    void freedServerIsReportedOnce() {
        TunnelAdmission<String> admission = new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(1, 0), 2));
        admission.opened(SECOND, "a", 0);
        assertFalse(admission.isFull(SECOND, "a"));
        admission.opened(SECOND, "a", 0);
        assertTrue(admission.isFull(SECOND, "a"));
        assertTrue(admission.anyFull());
        assertEquals(List.of(), admission.freed(SECOND));
        admission.ended("a");
        assertEquals(List.of("a"), admission.freed(SECOND));
        assertEquals(List.of(), admission.freed(SECOND));
        assertEquals(1, admission.open("a"));
    }

    @Test
    void withoutServersNothingIsAdmitted() {
        TunnelAdmission<String> admission = new TunnelAdmission<>(new TunnelAdmission.Rule(100, cold(1, 0), UNLIMITED));
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 100; i++) {
            long retry = admission.admit(SECOND, 0, random);
            assertTrue(retry > 0 && retry <= TunnelAdmission.MAX_RETRY_MICROS, "told " + retry);
        }
    }
}
