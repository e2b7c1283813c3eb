package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.testkit.ConsensusFaults;
import org.junit.jupiter.api.Test;

/** Many drawn days of faults, judged by what was sent and answered. */
class ConsensusFaultTest {

    private static final int DAYS = 160;

    @Test
    void nothingAcknowledgedIsLost() {
        int taken = 0;
        for (long seed = 0; seed < DAYS; seed++) {
            ConsensusFaults day = new ConsensusFaults(seed);
            assertThat(day.run()).as("seed " + seed).isNull();
            taken += day.taken();
        }
        assertThat(taken).isGreaterThan(DAYS * 20);
    }
}
