package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.testkit.SimulatedReplicas;
import org.cypressweir.testkit.SimulatedReplicas.Replica;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A replica that missed hundreds of changes catches up while ten more are submitted each second. Run it with
 * {@code -Dcatchup.items=20000 -Dcatchup.changes=1000} for the size at which the bounds are documented.
 */
class CatchUpTest {

    private static final int ITEMS = Integer.getInteger("catchup.items", 2_000);
    private static final int CHANGES = Integer.getInteger("catchup.changes", 200);
    private static final long MAX_SNAPSHOT_BYTES = 200L * ITEMS;
    private static final long MAX_DIFFERENCE_BYTES = 400L * CHANGES;
    private static final long CHANGE_INTERVAL_MICROS = 100_000;
    private static final long TIMEOUT_MICROS = 3_000_000;

    private SimulatedReplicas world;
    private int submitted;

    /** Submits the next change to one of the two replicas that are not interrupted. */
    private void submitNextChange() {
        submitted++;
        int item = submitted * 7 % ITEMS;
        world.submit(
                world.replica(1 + submitted % 2), OneChangeTest.tenants(item, item + 1, 1 + submitted), TIMEOUT_MICROS);
        world.run(CHANGE_INTERVAL_MICROS);
    }

    private void setPartitioned(boolean partitioned) {
        world.heal();
        for (int other = 1; partitioned && other < 3; other++) {
            world.block(world.replica(other).address(), world.replica(3).address());
            world.block(world.replica(3).address(), world.replica(other).address());
        }
    }

    private void interrupt(String interruption) {
        switch (interruption) {
            case "crashed" -> world.crash(world.replica(3));
            case "wiped" -> world.wipe(world.replica(3));
            case "stalled" -> {
                world.stallDisk(world.replica(3), CHANGES * CHANGE_INTERVAL_MICROS);
                setPartitioned(true);
            }
            default -> setPartitioned(true);
        }
    }

    /** Runs those of the tests that detect planted faults; returns the first failure, or null. */
    static String findViolation() {
        for (String interruption : new String[] {"crashed", "wiped"}) {
            try {
                new CatchUpTest()
                        .catchesUpWithinTimeAndBytes(
                                interruption, false, 2_000, interruption.equals("wiped") ? 4_000 : 1_500);
            } catch (AssertionError | RuntimeException e) {
                return String.valueOf(e);
            }
        }
        try {
            new CatchUpTest().acceptsADifferenceFromAStateLearnedAfterAPromise();
        } catch (AssertionError | RuntimeException e) {
            return String.valueOf(e);
        }
        return null;
    }

    private static Configuration tenants(int to, int version) {
        return Configuration.EMPTY.with(
                ConfigurationChange.read(OneChangeTest.tenants(0, to, version).getBytes(StandardCharsets.UTF_8))
                        .get()
                        .applyTo(Configuration.EMPTY)
                        .get());
    }

    private static Effect.Write write(List<Effect> effects) {
        return (Effect.Write) effects.stream()
                .filter(Effect.Write.class::isInstance)
                .findFirst()
                .orElse(null);
    }

    @Test
    void acceptsADifferenceFromAStateLearnedAfterAPromise() {
        List<String> voters = List.of("a", "b", "c");
        ProposalNumber committed = new ProposalNumber(5, "a");
        ProposalNumber promised = new ProposalNumber(9, "a");
        ConsensusReplica consensus = new ConsensusReplica(
                ConsensusOptions.defaults(),
                "c",
                voters,
                false,
                new PersistentState(promised, new ProposalNumber(1, "a"), voters, List.of(), false),
                1,
                new SplittableRandom(1),
                0);
        consensus.received(
                0,
                "a",
                ConsensusMessageCodec.encode(
                        new ConsensusMessage.Heartbeat(1, committed, committed, voters, false, false, 1, false, 0, 0)));
        consensus.tick(0);
        consensus.tick(100_000);
        Configuration state = tenants(3, 1);
        assertThat(consensus.received(
                        100_000,
                        "a",
                        ConsensusMessageCodec.encode(new ConsensusMessage.StateChunk(
                                committed, 0, null, state.checksum(), 0, 1, voters, state.items()))))
                .anyMatch(Effect.Publish.class::isInstance);
        List<Item> changed = tenants(2, 7).items();
        Map<String, Object> accept = ConsensusMessageCodec.encode(
                new ConsensusMessage.Accept(null, promised, committed, false, 1, voters, 0, 1, changed));
        assertThat(write(consensus.received(100_000, "a", accept)))
                .as("write for a wrong checksum")
                .isNull();
        accept.put("sum", state.with(changed).checksum());
        StorageUpdate update = write(consensus.received(100_000, "a", accept)).update();
        assertThat(update.fullSnapshot()).isTrue();
        assertThat(Configuration.of(update.items())).isEqualTo(state.with(changed));
    }

    @ParameterizedTest
    @CsvSource({
        "crashed, false, 2000, 1500",
        "partitioned, false, 2000, 1500",
        "stalled, false, 2000, 1500",
        "wiped, false, 2000, 4000",
        "crashed, true, 2000, 4000",
        "crashed, false, 30000, 3000",
        "wiped, false, 30000, 12000",
        "crashed, true, 30000, 12000",
    })
    void catchesUpWithinTimeAndBytes(String interruption, boolean othersRestart, long maxDelayMicros, long maxMillis) {
        world = new SimulatedReplicas(11, 3);
        world.run(500_000);
        assertThat(world.await(world.submit(world.replica(1), OneChangeTest.tenants(0, ITEMS, 1), 10 * TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
        world.run(1_000_000);
        world.maxDelayMicros = maxDelayMicros;
        interrupt(interruption);
        for (int i = 0; i < CHANGES; i++) {
            submitNextChange();
        }
        for (int other = 1; othersRestart && other < 3; other++) {
            world.crash(world.replica(other));
            world.start(other);
            world.run(2_000_000);
        }
        Replica returned = world.replica(3);
        world.countedAddress = returned.address();
        setPartitioned(false);
        if (!returned.isRunning()) {
            world.start(3);
        }
        long startedAt = world.now();
        long targetRound = world.replica(1).consensus().committed().number().round();
        int changesWhileCatchingUp = 0;
        while (returned.consensus().committed().number().round() < targetRound && changesWhileCatchingUp++ < 600) {
            submitNextChange();
        }
        long elapsedMillis = (world.now() - startedAt) / 1_000;
        long bytesUntilCaughtUp = world.countedBytes;
        for (int i = 0; i < 20; i++) {
            submitNextChange();
        }
        boolean needsSnapshot = interruption.equals("wiped") || othersRestart;
        System.out.printf(
                "%s%s, message delay up to %d us: caught up after %d ms and %d bytes, %d bytes 2 s later%n",
                interruption,
                othersRestart ? ", others restarted" : "",
                maxDelayMicros,
                elapsedMillis,
                bytesUntilCaughtUp,
                world.countedBytes);
        assertThat(elapsedMillis).as("ms").isLessThan(maxMillis);
        assertThat(world.countedBytes)
                .as("bytes")
                .isLessThan(needsSnapshot ? MAX_SNAPSHOT_BYTES : MAX_DIFFERENCE_BYTES);
        // With another replica down it is needed for a majority, and proposes changes to the committed state.
        world.crash(world.replica(1));
        assertThat(world.await(world.submit(returned, OneChangeTest.tenants(3, 4, 2_000), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
        world.run(1_000_000);
        assertThat(returned.consensus().committed().configuration().checksum())
                .isEqualTo(
                        world.replica(2).consensus().committed().configuration().checksum());
        assertThat(world.checks().violation()).isNull();
    }
}
