package org.cypressweir.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.stream.LongStream;
import org.cypressweir.testkit.LeaseHistory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs {@link LeaseChecks} in simulated time, with fixed seeds and one random one. */
class LeaseTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "faults",
                "wall clocks",
                "progress",
                "takeover",
                "handover",
                "one way",
                "quiet",
                "forgetful",
                "keepers",
                "late answers"
            })
    void guaranteeHoldsForAllSeeds(String check) {
        LongStream.concat(LongStream.rangeClosed(1, 20), LongStream.of(System.nanoTime() & 0xFFFFF))
                .forEach(seed -> assertNull(LeaseChecks.broken(check, seed)));
    }

    /** Leases rely on bounded clock drift: with more than the configured drift, violations must occur. */
    @Test
    void clockDriftBeyondTheBoundAllowsTwoHolders() {
        int broken = 0;
        for (long seed = 1; seed <= 20; seed++) {
            try {
                LeaseChecks.randomFaults(seed, 0.3, false);
            } catch (AssertionError e) {
                broken++;
            }
        }
        assertNotEquals(0, broken, "no violation beyond the drift bound, so the check cannot fail");
    }

    @Test
    void violationsInHistoriesAreDetected() {
        LeaseHistory overlap = new LeaseHistory();
        overlap.recordAct("l", "a", 10, 1);
        overlap.recordAct("l", "b", 10, 2);
        assertEquals(1, overlap.violations().size());
        LeaseHistory repeatedToken = new LeaseHistory();
        repeatedToken.recordAct("l", "a", 10, 5);
        repeatedToken.recordAct("l", "b", 11, 5);
        assertEquals(1, repeatedToken.violations().size());
        LeaseHistory returningHolder = new LeaseHistory();
        returningHolder.recordAct("l", "a", 10, 5);
        returningHolder.recordAct("l", "b", 11, 6);
        returningHolder.recordAct("l", "a", 12, 5);
        assertEquals(2, returningHolder.violations().size());
        LeaseHistory valid = new LeaseHistory();
        valid.recordAct("l", "a", 10, 5);
        valid.recordAct("m", "b", 10, 5);
        valid.recordAct("l", "a", 11, 5);
        valid.recordAct("l", "b", 12, 6);
        valid.recordAct("l", "a", 13, 7);
        assertEquals(List.of(), valid.violations());
    }
}
