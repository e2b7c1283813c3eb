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

/** A replica that is cut off knows it, says so, answers nobody 200, and goes on at once when it is back. */
class QuorumContactTest {

    private static final long PATIENCE = 850_000;
    private static final long CUT = 20_000_000;
    private static final long PRESENT = 1_000_000;

    private enum Cut {
        BOTH,
        HEARS_NOBODY,
        NOBODY_HEARS_IT
    }

    private static void cut(SimulatedReplicas world, int off, Cut how) {
        for (int other = 1; other <= 3; other++) {
            if (other != off && how != Cut.NOBODY_HEARS_IT) {
                world.block(world.replica(other).address(), world.replica(off).address());
            }
            if (other != off && how != Cut.HEARS_NOBODY) {
                world.block(world.replica(off).address(), world.replica(other).address());
            }
        }
    }

    private static String order(long version) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"k" + version + "\"],\"configVersion\":\"r" + version
                + "\"}}}}";
    }

    private static void refusedWithin(long most, SimulatedReplicas world, long proposalId) {
        long begun = world.now();
        assertThat(world.await(proposalId)).isInstanceOf(ProposalResult.Unavailable.class);
        assertThat(world.now() - begun).isLessThanOrEqualTo(most);
    }

    private static long age(SimulatedReplicas world, Replica replica) {
        return replica.consensus().confirmedAge(world.now());
    }

    @ParameterizedTest
    @EnumSource(Cut.class)
    void cutOffForTwentySeconds(Cut how) {
        SimulatedReplicas world = new SimulatedReplicas(how.ordinal(), 3);
        world.run(1_000_000);
        Replica off = world.replica(3);
        assertThat(world.await(world.submit(off, order(1), PATIENCE))).isInstanceOf(ProposalResult.Taken.class);
        world.run(1_000_000);
        assertThat(age(world, off)).isBetween(0L, PRESENT);
        cut(world, 3, how);
        long cut = world.now();
        // What comes before the replica can know of the cut waits, and is not answered 200 either.
        refusedWithin(PATIENCE + 60_000, world, world.submit(off, order(2), PATIENCE));
        world.run(2_000_000);
        for (long version = 10; world.now() < cut + CUT; version++) {
            assertThat(off.consensus().inContact(world.now())).isFalse();
            assertThat(age(world, off)).isGreaterThanOrEqualTo(world.now() - cut);
            refusedWithin(210_000, world, world.submit(off, order(version), PATIENCE));
            refusedWithin(210_000, world, world.read(off, PATIENCE));
            assertThat(world.await(world.submit(world.replica(1 + (int) version % 2), order(100 + version), PATIENCE)))
                    .isInstanceOf(ProposalResult.Taken.class);
            world.run(500_000);
        }
        world.heal();
        // The first order after the join is taken: nobody need have told it before that it is back.
        assertThat(world.await(world.submit(off, order(1_000), PATIENCE))).isInstanceOf(ProposalResult.Taken.class);
        world.run(PRESENT);
        assertThat(off.consensus().inContact(world.now())).isTrue();
        assertThat(age(world, off)).isBetween(0L, PRESENT);
        assertThat(world.checks().breach()).isNull();
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

    /** An echo that a partition has held up does not make old contact new, nor one to an earlier incarnation. */
    @Test
    void lateEchoProvesNoNewContact() {
        List<String> voters = List.of("a", "b", "c");
        ReplicaContext context = new ReplicaContext(ConsensusOptions.usual(), "a", 0, 5, new SplittableRandom(1), 0);
        QuorumContact contact = new QuorumContact(context);
        long first = contact.nextSequence();
        context.now = CUT;
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
        assertThat(contact.confirmedAt()).isEqualTo(CUT);
    }

    @Test
    void aReplicaAloneIsAlwaysInContact() {
        SimulatedReplicas world = new SimulatedReplicas(1, 1);
        world.run(5_000_000);
        assertThat(age(world, world.replica(1))).isLessThan(60_000);
        assertThat(world.await(world.submit(world.replica(1), order(1), PATIENCE)))
                .isInstanceOf(ProposalResult.Taken.class);
    }
}
