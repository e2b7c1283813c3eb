package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.cypressweir.testkit.MachineLosses;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The largest tolerated number of machines is lost at once, and as many again once there was time to replace them. */
class MachineLossTest {

    private static final int SCENARIOS = 60;

    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "5, 0", "5, 2"})
    void aSecondLossLeavesAMajority(int count, int standbys) {
        for (long seed = 0; seed < SCENARIOS; seed++) {
            assertThat(new MachineLosses(seed, count, standbys).secondLoss())
                    .as("seed " + seed)
                    .isNull();
        }
    }

    /** A standby is admitted once the lost voter is unresponsive, a blank replica at the old address at once. */
    @ParameterizedTest
    @CsvSource({"1, false, 4000", "0, true, 1500"})
    void lostVoterIsReplacedSoon(int standbys, boolean returnsBlank, long maxMillis) {
        long[] millis = LongStream.range(0, SCENARIOS)
                .map(seed -> new MachineLosses(seed, 3, standbys).untilThreeVote(returnsBlank) / 1000)
                .sorted()
                .toArray();
        assertThat(millis[0]).isPositive();
        assertThat(millis[SCENARIOS - 1]).as("median " + millis[SCENARIOS / 2]).isLessThanOrEqualTo(maxMillis);
    }
}
