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

/** Leases in made-up time. */
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
    void itHoldsForDrawnSeeds(String check) {
        LongStream.concat(LongStream.rangeClosed(1, 20), LongStream.of(System.nanoTime() & 0xFFFFF))
                .forEach(seed -> assertNull(LeaseChecks.broken(check, seed)));
    }

    /** Clocks whose rates differ by more than the plan says are what time alone can't bear. */
    @Test
    void beyondTheBoundOnClocksTwoMayHoldAtOnce() {
        int broken = 0;
        for (long seed = 1; seed <= 20; seed++) {
            try {
                LeaseChecks.faults(seed, 0.3, false);
            } catch (AssertionError e) {
                broken++;
            }
        }
        assertNotEquals(0, broken, "nothing is lost beyond the bound, so the check can't fail");
    }

    @Test
    void wrongHistoriesAreFound() {
        LeaseHistory overlap = new LeaseHistory();
        overlap.act("l", "a", 10, 1);
        overlap.act("l", "b", 10, 2);
        assertEquals(1, overlap.wrong().size());
        LeaseHistory falling = new LeaseHistory();
        falling.act("l", "a", 10, 5);
        falling.act("l", "b", 11, 5);
        assertEquals(1, falling.wrong().size());
        LeaseHistory back = new LeaseHistory();
        back.act("l", "a", 10, 5);
        back.act("l", "b", 11, 6);
        back.act("l", "a", 12, 5);
        assertEquals(2, back.wrong().size());
        LeaseHistory right = new LeaseHistory();
        right.act("l", "a", 10, 5);
        right.act("m", "b", 10, 5);
        right.act("l", "a", 11, 5);
        right.act("l", "b", 12, 6);
        right.act("l", "a", 13, 7);
        assertEquals(List.of(), right.wrong());
    }
}
