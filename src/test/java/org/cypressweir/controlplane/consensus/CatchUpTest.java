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
 * A member that was away through hundreds of changes, while ten more come each second. With
 * {@code -Dcatchup.items=20000 -Dcatchup.changes=1000} at the size that is promised.
 */
class CatchUpTest {

    private static final int ITEMS = Integer.getInteger("catchup.items", 2_000);
    private static final int CHANGES = Integer.getInteger("catchup.changes", 200);
    private static final long WHOLE = 200L * ITEMS;
    private static final long DIFFERENCES = 400L * CHANGES;
    private static final long EVERY = 100_000;
    private static final long PATIENCE = 3_000_000;

    private SimulatedReplicas world;
    private int made;

    /** The next change, at one of both that stay. */
    private void change() {
        made++;
        int item = made * 7 % ITEMS;
        world.submit(world.replica(1 + made % 2), OneChangeTest.tenants(item, item + 1, 1 + made), PATIENCE);
        world.run(EVERY);
    }

    private void cut(boolean off) {
        world.heal();
        for (int other = 1; off && other < 3; other++) {
            world.block(world.replica(other).address(), world.replica(3).address());
            world.block(world.replica(3).address(), world.replica(other).address());
        }
    }

    private void leave(String how) {
        switch (how) {
            case "down" -> world.crash(world.replica(3));
            case "wiped" -> world.wipe(world.replica(3));
            case "frozen" -> {
                world.stallDisk(world.replica(3), CHANGES * EVERY);
                cut(true);
            }
            default -> cut(true);
        }
    }

    /** What the test finds, or null. */
    static String findViolation() {
        for (String how : new String[] {"down", "wiped"}) {
            try {
                new CatchUpTest()
                        .isUpToDateWithinABoundOfTimeAndBytes(how, false, 2_000, how.equals("wiped") ? 4_000 : 1_500);
            } catch (AssertionError | RuntimeException e) {
                return String.valueOf(e);
            }
        }
        try {
            new CatchUpTest().whatWasLearntWhileAPromiseStoodIsABase();
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
    void whatWasLearntWhileAPromiseStoodIsABase() {
        List<String> voters = List.of("a", "b", "c");
        ProposalNumber decided = new ProposalNumber(5, "a");
        ProposalNumber promised = new ProposalNumber(9, "a");
        ConsensusReplica consensus = new ConsensusReplica(
                ConsensusOptions.usual(),
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
                        new ConsensusMessage.Heartbeat(1, decided, decided, voters, false, false, 1, false, 0, 0)));
        consensus.tick(0);
        consensus.tick(100_000);
        Configuration state = tenants(3, 1);
        assertThat(consensus.received(
                        100_000,
                        "a",
                        ConsensusMessageCodec.encode(new ConsensusMessage.StateChunk(
                                decided, 0, null, state.sum(), 0, 1, voters, state.items()))))
                .anyMatch(Effect.Show.class::isInstance);
        List<Item> changed = tenants(2, 7).items();
        Map<String, Object> accept = ConsensusMessageCodec.encode(
                new ConsensusMessage.Accept(null, promised, decided, false, 1, voters, 0, 1, changed));
        assertThat(write(consensus.received(100_000, "a", accept)))
                .as("another sum")
                .isNull();
        accept.put("sum", state.with(changed).sum());
        StorageUpdate change = write(consensus.received(100_000, "a", accept)).change();
        assertThat(change.fullSnapshot()).isTrue();
        assertThat(Configuration.of(change.items())).isEqualTo(state.with(changed));
    }

    @ParameterizedTest
    @CsvSource({
        "down, false, 2000, 1500",
        "cut, false, 2000, 1500",
        "frozen, false, 2000, 1500",
        "wiped, false, 2000, 4000",
        "down, true, 2000, 4000",
        "down, false, 30000, 3000",
        "wiped, false, 30000, 12000",
        "down, true, 30000, 12000",
    })
    void isUpToDateWithinABoundOfTimeAndBytes(String how, boolean othersStartAnew, long delay, long millis) {
        world = new SimulatedReplicas(11, 3);
        world.run(500_000);
        assertThat(world.await(world.submit(world.replica(1), OneChangeTest.tenants(0, ITEMS, 1), 10 * PATIENCE)))
                .isInstanceOf(ProposalResult.Taken.class);
        world.run(1_000_000);
        world.maxDelayMicros = delay;
        leave(how);
        for (int i = 0; i < CHANGES; i++) {
            change();
        }
        for (int other = 1; othersStartAnew && other < 3; other++) {
            world.crash(world.replica(other));
            world.start(other);
            world.run(2_000_000);
        }
        Replica back = world.replica(3);
        world.countedAddress = back.address();
        cut(false);
        if (!back.isRunning()) {
            world.start(3);
        }
        long begun = world.now();
        long missed = world.replica(1).consensus().committed().number().round();
        int behind = 0;
        while (back.consensus().committed().number().round() < missed && behind++ < 600) {
            change();
        }
        long took = (world.now() - begun) / 1_000;
        long shown = world.countedBytes;
        for (int i = 0; i < 20; i++) {
            change();
        }
        boolean whole = how.equals("wiped") || othersStartAnew;
        System.out.printf(
                "%s%s, messages up to %d us: shown after %d ms and %d bytes, %d bytes 2 s later%n",
                how, othersStartAnew ? ", others anew" : "", delay, took, shown, world.countedBytes);
        assertThat(took).as("ms").isLessThan(millis);
        assertThat(world.countedBytes).as("bytes").isLessThan(whole ? WHOLE : DIFFERENCES);
        // With another gone it is needed, and leads with all that was agreed.
        world.crash(world.replica(1));
        assertThat(world.await(world.submit(back, OneChangeTest.tenants(3, 4, 2_000), PATIENCE)))
                .isInstanceOf(ProposalResult.Taken.class);
        world.run(1_000_000);
        assertThat(back.consensus().committed().configuration().sum())
                .isEqualTo(
                        world.replica(2).consensus().committed().configuration().sum());
        assertThat(world.checks().breach()).isNull();
    }
}
