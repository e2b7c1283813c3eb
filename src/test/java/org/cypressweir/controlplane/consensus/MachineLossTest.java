package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.cypressweir.testkit.MachineLosses;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** As many as may be lost are lost, and as many again once their successors have had their time. */
class MachineLossTest {

    private static final int DAYS = 60;

    @ParameterizedTest
    @CsvSource({"3, 0", "3, 1", "3, 2", "4, 0", "5, 0", "5, 2"})
    void aSecondLossLeavesAMajority(int count, int standbys) {
        for (long seed = 0; seed < DAYS; seed++) {
            assertThat(new MachineLosses(seed, count, standbys).secondLoss())
                    .as("seed " + seed)
                    .isNull();
        }
    }

    /** Where one waits it comes in when the silence has lasted; a wiped disk that speaks comes in at once. */
    @ParameterizedTest
    @CsvSource({"1, false, 4000", "0, true, 1500"})
    void threeVoteAgainSoon(int standbys, boolean returnsBlank, long mostMillis) {
        long[] millis = LongStream.range(0, DAYS)
                .map(seed -> new MachineLosses(seed, 3, standbys).untilThreeVote(returnsBlank) / 1000)
                .sorted()
                .toArray();
        assertThat(millis[0]).isPositive();
        assertThat(millis[DAYS - 1]).as("median " + millis[DAYS / 2]).isLessThanOrEqualTo(mostMillis);
    }
}
