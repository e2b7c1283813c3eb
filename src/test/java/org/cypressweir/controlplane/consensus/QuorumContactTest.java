package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.testkit.SimulatedReplicas;
import org.cypressweir.testkit.SimulatedReplicas.Replica;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A replica that has lost contact with a majority reports so, and accepts no call until contact is regained. */
class QuorumContactTest {

    private static final long TIMEOUT_MICROS = 850_000;
    private static final long PARTITION_MICROS = 20_000_000;
    private static final long MAX_AGE_MICROS = 1_000_000;

    private enum Partition {
        BOTH,
        HEARS_NOBODY,
        NOBODY_HEARS_IT
    }

    private static void partition(SimulatedReplicas world, int partitioned, Partition direction) {
        for (int other = 1; other <= 3; other++) {
            if (other != partitioned && direction != Partition.NOBODY_HEARS_IT) {
                world.block(
                        world.replica(other).address(),
                        world.replica(partitioned).address());
            }
            if (other != partitioned && direction != Partition.HEARS_NOBODY) {
                world.block(
                        world.replica(partitioned).address(),
                        world.replica(other).address());
            }
        }
    }

    private static String change(long version) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"k" + version + "\"],\"configVersion\":\"r" + version
                + "\"}}}}";
    }

    private static void assertUnavailableWithin(long maxMicros, SimulatedReplicas world, long proposalId) {
        long startedAt = world.now();
        assertThat(world.await(proposalId)).isInstanceOf(ProposalResult.Unavailable.class);
        assertThat(world.now() - startedAt).isLessThanOrEqualTo(maxMicros);
    }

    private static long age(SimulatedReplicas world, Replica replica) {
        return replica.consensus().confirmedAge(world.now());
    }

    @ParameterizedTest
    @EnumSource(Partition.class)
    void partitionedReplicaRejectsCallsUntilItHasContactAgain(Partition direction) {
        SimulatedReplicas world = new SimulatedReplicas(direction.ordinal(), 3);
        world.run(1_000_000);
        Replica partitioned = world.replica(3);
        assertThat(world.await(world.submit(partitioned, change(1), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
        world.run(1_000_000);
        assertThat(age(world, partitioned)).isBetween(0L, MAX_AGE_MICROS);
        partition(world, 3, direction);
        long partitionedAt = world.now();
        // A call submitted before the replica can know of the partition waits, and is not accepted either.
        assertUnavailableWithin(TIMEOUT_MICROS + 60_000, world, world.submit(partitioned, change(2), TIMEOUT_MICROS));
        world.run(2_000_000);
        for (long version = 10; world.now() < partitionedAt + PARTITION_MICROS; version++) {
            assertThat(partitioned.consensus().inContact(world.now())).isFalse();
            assertThat(age(world, partitioned)).isGreaterThanOrEqualTo(world.now() - partitionedAt);
            assertUnavailableWithin(210_000, world, world.submit(partitioned, change(version), TIMEOUT_MICROS));
            assertUnavailableWithin(210_000, world, world.read(partitioned, TIMEOUT_MICROS));
            assertThat(world.await(
                            world.submit(world.replica(1 + (int) version % 2), change(100 + version), TIMEOUT_MICROS)))
                    .isInstanceOf(ProposalResult.Committed.class);
            world.run(500_000);
        }
        world.heal();
        // The first change after the partition is accepted: no heartbeat need have come before it.
        assertThat(world.await(world.submit(partitioned, change(1_000), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
        world.run(MAX_AGE_MICROS);
        assertThat(partitioned.consensus().inContact(world.now())).isTrue();
        assertThat(age(world, partitioned)).isBetween(0L, MAX_AGE_MICROS);
        assertThat(world.checks().violation()).isNull();
    }

    private static ConsensusMessage.Heartbeat heartbeat(long sequence, long echoedIncarnation, long echoedSequence) {
        return new ConsensusMessage.Heartbeat(
                1,
                ProposalNumber.ZERO,
                ProposalNumber.ZERO,
                List.of("a", "b", "c"),
                false,
                false,
                sequence,
                false,
                echoedIncarnation,
                echoedSequence);
    }

    /** An echo that a partition has delayed proves no later contact, and one for an earlier incarnation proves none. */
    @Test
    void lateEchoProvesNoNewContact() {
        List<String> voters = List.of("a", "b", "c");
        ReplicaContext context = new ReplicaContext(ConsensusOptions.defaults(), "a", 0, 5, new SplittableRandom(1), 0);
        QuorumContact contact = new QuorumContact(context);
        long first = contact.nextSequence();
        context.now = PARTITION_MICROS;
        long second = contact.nextSequence();
        contact.onHeartbeat("b", heartbeat(1, 4, second));
        assertThat(contact.contactAt(voters)).isEqualTo(QuorumContact.NEVER);
        contact.onHeartbeat("b", heartbeat(2, 5, first));
        assertThat(contact.contactAt(voters)).isZero();
        assertThat(contact.isLost(voters)).isTrue();
        contact.onHeartbeat("c", heartbeat(1, 5, second + 1));
        assertThat(contact.isLost(voters)).isTrue();
        contact.onHeartbeat("c", heartbeat(2, 5, second));
        assertThat(contact.isLost(voters)).isFalse();
        contact.confirm(
                new ReplicatedState(ProposalNumber.ZERO, voters, Configuration.EMPTY), ProposalNumber.ZERO, voters);
        assertThat(contact.confirmedAt()).isEqualTo(PARTITION_MICROS);
    }

    @Test
    void singleReplicaIsAlwaysInContact() {
        SimulatedReplicas world = new SimulatedReplicas(1, 1);
        world.run(5_000_000);
        assertThat(age(world, world.replica(1))).isLessThan(60_000);
        assertThat(world.await(world.submit(world.replica(1), change(1), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
    }
}
