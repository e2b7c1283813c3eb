package org.cypressweir.sidecar.plugin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A plug-in's deadline counts the CPU time of its thread; the elapsed time is limited as well. */
class InvocationDeadlineTest {

    @ParameterizedTest
    @CsvSource({
        // deadline, waited, used, more
        "5000, 0, 0, 5000",
        "5000, 5000, 5000, 0",
        "5000, 5000, 1000, 4000",
        "5000, 5000, 4990, 200",
        "5000, 49000, 0, 1000",
        "5000, 50000, 0, 0",
        "5000, 5000, -1, 0",
        "5000, 4000, -1, 1000",
        // CPU time above the elapsed time is limited to the elapsed time.
        "5000, 1000, 9000, 4000",
        "1000000, 1000000, 0, 50000",
        "1000000, 1050000, 0, 0",
        "100, 100, 0, 200",
        "100, 900, 0, 100",
    })
    void remainingWait(long deadline, long waited, long used, long more) {
        assertEquals(more, new InvocationDeadline(deadline).remainingWaitMicros(waited, used));
    }

    /** Whatever CPU time the thread gets, the wait ends within its limit and never before the deadline. */
    @RepeatedTest(20)
    void waitEndsBetweenTheDeadlineAndItsLimit(RepetitionInfo run) {
        SplittableRandom random = new SplittableRandom(run.getCurrentRepetition());
        long deadline = random.nextLong(100, 1_000_001);
        InvocationDeadline invocationDeadline = new InvocationDeadline(deadline);
        long waited = 0;
        long used = 0;
        int checks = 0;
        for (long more; (more = invocationDeadline.remainingWaitMicros(waited, used)) > 0; checks++) {
            waited += more;
            used += (long) (more * random.nextDouble());
        }
        assertTrue(waited >= deadline, "after " + waited + " of " + deadline);
        assertTrue(waited
                <= deadline
                        + Math.min(InvocationDeadline.MAX_EXTRA_MICROS, InvocationDeadline.EXTRA_FACTOR * deadline));
        assertTrue(checks <= 10_000, checks + " checks");
    }
}
