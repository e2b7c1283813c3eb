package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.testkit.OverlappingLosses;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** No change acknowledged around a partition is lost if some replicas lose their disks and the others lose power. */
class OverlappingLossTest {

    private static final int SCENARIOS = 120;

    @ParameterizedTest
    @CsvSource({"3, 0", "5, 0", "5, 1"})
    void nothingAcknowledgedIsLost(int voters, int standbys) {
        int acknowledged = 0;
        for (long seed = 0; seed < SCENARIOS; seed++) {
            OverlappingLosses losses = new OverlappingLosses(seed, voters, standbys);
            assertThat(losses.run()).as("seed " + seed).isNull();
            acknowledged += losses.acknowledged();
        }
        assertThat(acknowledged).isGreaterThan(10 * SCENARIOS);
    }
}
