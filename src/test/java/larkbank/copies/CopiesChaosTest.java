package larkbank.copies;

import static org.assertj.core.api.Assertions.assertThat;

import larkbank.testkit.CopiesChaos;
import org.junit.jupiter.api.Test;

/** Many drawn days of faults, judged by what was sent and answered. */
class CopiesChaosTest {

    private static final int DAYS = 160;

    @Test
    void nothingAcknowledgedIsLost() {
        int taken = 0;
        for (long seed = 0; seed < DAYS; seed++) {
            CopiesChaos day = new CopiesChaos(seed);
            assertThat(day.run()).as("seed " + seed).isNull();
            taken += day.taken();
        }
        assertThat(taken).isGreaterThan(DAYS * 20);
    }
}
