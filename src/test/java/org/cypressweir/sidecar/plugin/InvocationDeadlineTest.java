package org.cypressweir.sidecar.plugin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What counts against a plug-in's deadline: its thread's processor time, within a bound by the clock. */
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
        // A clock of processor time that runs ahead is not believed.
        "5000, 1000, 9000, 4000",
        "1000000, 1000000, 0, 50000",
        "1000000, 1050000, 0, 0",
        "100, 100, 0, 200",
        "100, 900, 0, 100",
    })
    void table(long deadline, long waited, long used, long more) {
        assertEquals(more, new InvocationDeadline(deadline).more(waited, used));
    }

    /** However the processor is given out, a call ends within the bound, and never before its deadline. */
    @RepeatedTest(20)
    void endsWithinItsBounds(RepetitionInfo run) {
        SplittableRandom random = new SplittableRandom(run.getCurrentRepetition());
        long deadline = random.nextLong(100, 1_000_001);
        InvocationDeadline patience = new InvocationDeadline(deadline);
        long waited = 0;
        long used = 0;
        int looks = 0;
        for (long more; (more = patience.more(waited, used)) > 0; looks++) {
            waited += more;
            used += (long) (more * random.nextDouble());
        }
        assertTrue(waited >= deadline, "after " + waited + " of " + deadline);
        assertTrue(waited
                <= deadline + Math.min(InvocationDeadline.MOST_EXTRA, InvocationDeadline.EXTRA_SHARE * deadline));
        assertTrue(looks <= 10_000, looks + " looks");
    }
}
