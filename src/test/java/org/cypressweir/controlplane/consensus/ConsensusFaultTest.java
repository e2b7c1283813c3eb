package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.testkit.ConsensusFaults;
import org.junit.jupiter.api.Test;

/** Many random fault scenarios, checked by what was submitted and answered. */
class ConsensusFaultTest {

    private static final int SCENARIOS = 160;

    @Test
    void acknowledgedChangesSurviveRandomFaults() {
        int accepted = 0;
        for (long seed = 0; seed < SCENARIOS; seed++) {
            ConsensusFaults scenario = new ConsensusFaults(seed);
            assertThat(scenario.run()).as("seed " + seed).isNull();
            accepted += scenario.accepted();
        }
        assertThat(accepted).isGreaterThan(SCENARIOS * 20);
    }
}
