package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.testkit.ConsensusPartitions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Eight operators at once: cuts of 20 s, and the join, hold no order up for long. Also see CutBench. */
class ConsensusPartitionTest {

    private static final long CUT = 20_000_000;
    /** Under half of the shortest time in which an order is to be acknowledged. */
    private static final long WORST = 2_000_000;

    private static final double ROUNDS = 1.5;

    @ParameterizedTest
    @EnumSource(ConsensusPartitions.Kind.class)
    void ordersGoOn(ConsensusPartitions.Kind kind) {
        ConsensusPartitions.measure(kind, CUT, 2_000, 1).forEach((phase, figures) -> {
            assertThat(figures.changes()).as(phase + ": " + figures).isGreaterThan(100);
            assertThat(figures.worst()).as(phase + ": " + figures).isLessThan(WORST);
            assertThat(figures.roundsPerChange()).as(phase + ": " + figures).isLessThan(ROUNDS);
        });
    }
}
