package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import org.cypressweir.testkit.ConsensusPartitions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Eight operators at once: a partition of 20 s delays no change for long. See also PartitionBench. */
class ConsensusPartitionTest {

    private static final long PARTITION_MICROS = 20_000_000;
    /** Less than half of the shortest time in which a change must be acknowledged. */
    private static final long MAX_MICROS = 2_000_000;

    private static final double MAX_ROUNDS_PER_CHANGE = 1.5;

    @ParameterizedTest
    @EnumSource(ConsensusPartitions.Kind.class)
    void changesAreAcknowledgedDespiteAPartition(ConsensusPartitions.Kind kind) {
        ConsensusPartitions.measure(kind, PARTITION_MICROS, 2_000, 1).forEach((phase, figures) -> {
            assertThat(figures.changes()).as(phase + ": " + figures).isGreaterThan(100);
            assertThat(figures.worst()).as(phase + ": " + figures).isLessThan(MAX_MICROS);
            assertThat(figures.roundsPerChange()).as(phase + ": " + figures).isLessThan(MAX_ROUNDS_PER_CHANGE);
        });
    }
}
