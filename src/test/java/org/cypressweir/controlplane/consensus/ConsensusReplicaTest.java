package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.RejectionKind;
import org.cypressweir.testkit.ConsensusCornerCases;
import org.cypressweir.testkit.SimulatedReplicas;
import org.cypressweir.testkit.SimulatedReplicas.Replica;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Replicas agree on one state despite lost messages, crashes and lost disks. See also ConsensusWalk. */
class ConsensusReplicaTest {

    private static final long TIMEOUT_MICROS = 3_000_000;

    private static String change(String tenant, long version, String key) {
        return "{\"upsert\":{\"tenantTable\":{\"" + tenant + "\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r"
                + version + "\"}}}}";
    }

    private static Object apiKeys(Configuration configuration, String tenant) {
        return configuration
                .get(new ItemKey(ItemType.TENANTS, tenant))
                .content()
                .get("apiKeys");
    }

    private static void assertAgreement(SimulatedReplicas world) {
        assertThat(world.checks().violation()).isNull();
        ReplicatedState first = world.runningReplicas().get(0).consensus().committed();
        for (Replica replica : world.runningReplicas()) {
            assertThat(replica.consensus().committed()).as(replica.address()).isEqualTo(first);
            assertThat(replica.consensus().isBlank()).isFalse();
        }
        world.checks().requireAtLeast(world.checks().requiredItems(), first.configuration(), "shown");
        assertThat(world.checks().violation()).isNull();
    }

    private static void assertAccepted(SimulatedReplicas world, Replica replica, String body) {
        assertThat(world.await(world.submit(replica, body, TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Committed.class);
    }

    @Test
    void oneOfTwoConflictingChangesIsAccepted() {
        SimulatedReplicas world = new SimulatedReplicas(1, 3);
        world.run(500_000);
        long firstProposal = world.submit(world.replica(1), change("t", 1, "a"), TIMEOUT_MICROS);
        long secondProposal = world.submit(world.replica(2), change("t", 1, "b"), TIMEOUT_MICROS);
        ProposalResult first = world.await(firstProposal);
        ProposalResult second = world.await(secondProposal);
        world.run(1_000_000);
        assertAgreement(world);
        boolean firstWins = first instanceof ProposalResult.Committed;
        assertThat(firstWins ? first : second).isInstanceOf(ProposalResult.Committed.class);
        assertThat(firstWins ? second : first)
                .isInstanceOfSatisfying(
                        ProposalResult.Rejected.class,
                        refused -> assertThat(refused.rejection().kind()).isEqualTo(RejectionKind.CONFLICT));
        assertThat(apiKeys(world.replica(3).consensus().committed().configuration(), "t"))
                .isEqualTo(List.of(firstWins ? "a" : "b"));
        // Repetitions of the version in force, and of one that it has superseded.
        assertAccepted(world, world.replica(3), change("t", 1, firstWins ? "a" : "b"));
        assertAccepted(world, world.replica(3), change("t", 2, "c"));
        assertAccepted(world, world.replica(1), change("t", 1, firstWins ? "a" : "b"));
        world.run(1_000_000);
        assertAgreement(world);
    }

    /** A replica that was suspended for long sends no accept message for a change whose caller has timed out since. */
    @Test
    void proposalIsAbandonedAfterItsDeadline() {
        List<String> voters = List.of("a", "b", "c");
        ConsensusReplica consensus = new ConsensusReplica(
                ConsensusOptions.defaults(),
                "a",
                voters,
                false,
                new PersistentState(ProposalNumber.ZERO, ProposalNumber.ZERO, voters, List.of(), false),
                1,
                new SplittableRandom(1),
                0);
        consensus.start(0);
        List<Effect> submitEffects = consensus.submit(
                1,
                7,
                ConfigurationChange.read(change("t", 1, "k").getBytes(StandardCharsets.UTF_8))
                        .get(),
                850_000);
        Effect.Write write = (Effect.Write) submitEffects.stream()
                .filter(Effect.Write.class::isInstance)
                .findAny()
                .orElseThrow();
        Effect.Send prepare = (Effect.Send) consensus.written(2, write.number(), true).stream()
                .filter(e -> e instanceof Effect.Send s && s.message().get("t").equals("copies.prepare"))
                .findAny()
                .orElseThrow();
        List<Effect> effectsAfterDeadline = consensus.received(
                20_000_000,
                "b",
                ConsensusMessageCodec.encode(new ConsensusMessage.Promise(
                        ProposalNumber.of(String.valueOf(prepare.message().get("b"))),
                        ProposalNumber.ZERO,
                        ProposalNumber.ZERO,
                        voters,
                        false)));
        assertThat(effectsAfterDeadline)
                .anyMatch(e -> e instanceof Effect.Answer a && a.result() instanceof ProposalResult.Unavailable);
        assertThat(effectsAfterDeadline)
                .noneMatch(
                        e -> e instanceof Effect.Write w && !w.update().items().isEmpty());
    }

    @Test
    void committedStateSurvivesAPowerFailureOfAllReplicas() {
        SimulatedReplicas world = new SimulatedReplicas(2, 3);
        world.run(500_000);
        assertAccepted(world, world.replica(1), change("t", 1, "a"));
        List<Replica> all = world.runningReplicas();
        all.forEach(world::crash);
        all.forEach(replica -> world.start(replica.address(), false));
        world.run(3_000_000);
        assertAgreement(world);
        assertThat(apiKeys(world.replica(2).consensus().committed().configuration(), "t"))
                .isEqualTo(List.of("a"));
    }

    @Test
    void replicaWhoseClockIsSetBackRejoins() {
        SimulatedReplicas world = new SimulatedReplicas(3, 3);
        world.run(500_000);
        world.crash(world.replica(3));
        world.clockBehindMicros = 1_000_000;
        world.start(3);
        world.run(1_500_000);
        for (int other = 2; other <= 3; other++) {
            world.block(world.replica(1).address(), world.replica(other).address());
            world.block(world.replica(other).address(), world.replica(1).address());
        }
        assertAccepted(world, world.replica(3), change("t", 1, "a"));
        world.crash(world.replica(2));
        world.heal();
        world.run(1_000_000);
        assertThat(apiKeys(world.replica(1).consensus().committed().configuration(), "t"))
                .isEqualTo(List.of("a"));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void committedStateSurvivesADiskLossWhileTheOthersLosePower(int lost) {
        for (int seed = 0; seed < 40; seed++) {
            SimulatedReplicas world = new SimulatedReplicas(seed, 3);
            world.run(500_000);
            assertAccepted(world, world.replica(1), change("t", 1, "a"));
            List<Replica> all = world.runningReplicas();
            all.forEach(replica -> {
                if (replica == world.replica(lost)) {
                    world.wipe(replica);
                } else {
                    world.crash(replica);
                }
            });
            all.forEach(replica -> world.start(replica.address(), false));
            world.run(4_000_000);
            assertAgreement(world);
            assertThat(apiKeys(world.replica(lost).consensus().committed().configuration(), "t"))
                    .isEqualTo(List.of("a"));
            assertAccepted(world, world.replica(lost), change("t", 2, "b"));
        }
    }

    @Test
    void replicasAreReplacedOneAfterTheOther() {
        SimulatedReplicas world = new SimulatedReplicas(3, 3);
        world.run(500_000);
        assertAccepted(world, world.replica(3), change("t", 1, "a"));
        PersistentState oldDisk = null;
        for (int lostReplica = 3; lostReplica > 1; lostReplica--) {
            oldDisk = world.replica(lostReplica).disk();
            world.wipe(world.replica(lostReplica));
            Replica replacement = world.start(7 - lostReplica);
            world.run(12_000_000);
            assertThat(replacement.consensus().voters())
                    .hasSize(3)
                    .contains(replacement.consensus().replicaKey())
                    .doesNotContain(world.replica(lostReplica).address());
            assertAgreement(world);
            assertAccepted(world, replacement, change("t", 10 - lostReplica, "b" + lostReplica));
        }
        world.run(1_000_000);
        assertAgreement(world);
        assertThat(apiKeys(world.replica(1).consensus().committed().configuration(), "t"))
                .isEqualTo(List.of("b2"));
        // A removed voter that returns with its old disk is a standby, and learns the committed state.
        world.start(2, oldDisk);
        Replica returned = world.replica(2);
        world.run(5_000_000);
        assertThat(returned.consensus().voters())
                .hasSize(3)
                .doesNotContain(returned.consensus().replicaKey());
        assertAgreement(world);
        assertThat(world.await(world.submit(returned, change("t", 20, "c"), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Unavailable.class);
        world.wipe(world.replica(1));
        world.run(4_000_000);
        assertThat(returned.consensus().replicaKey()).isEqualTo(returned.address());
        assertThat(returned.consensus().voters()).hasSize(3).contains(returned.address());
        assertAccepted(world, returned, change("t", 20, "c"));
        world.run(1_000_000);
        assertAgreement(world);
    }

    @Test
    void replicaReportsAStalledOrFullDiskWhileTheOthersAcceptChanges() {
        SimulatedReplicas world = new SimulatedReplicas(4, 3);
        world.run(500_000);
        Replica affected = world.replica(1);
        world.stallDisk(affected, 5_000_000);
        long stalledProposal = world.submit(affected, change("t", 1, "a"), TIMEOUT_MICROS);
        assertThat(world.await(stalledProposal)).isInstanceOf(ProposalResult.Unavailable.class);
        assertThat(affected.consensus().diskFailed(world.now())).isTrue();
        assertThat(world.result(world.read(affected, TIMEOUT_MICROS))).isInstanceOf(ProposalResult.Unavailable.class);
        assertAccepted(world, world.replica(2), change("u", 1, "b"));
        world.run(6_000_000);
        assertThat(affected.consensus().diskFailed(world.now())).isFalse();
        assertAgreement(world);
        world.setDiskFull(affected, true);
        assertThat(world.await(world.submit(affected, change("t", 5, "e"), TIMEOUT_MICROS)))
                .isInstanceOf(ProposalResult.Unavailable.class);
        assertThat(affected.consensus().diskFailed(world.now())).isTrue();
        assertAccepted(world, world.replica(3), change("t", 5, "f"));
        world.run(2_000_000);
        world.setDiskFull(affected, false);
        world.run(2_000_000);
        assertThat(affected.consensus().diskFailed(world.now())).isFalse();
        assertAccepted(world, affected, change("t", 6, "g"));
        world.run(1_000_000);
        assertAgreement(world);
        world.crash(affected);
        world.start(1);
        world.run(2_000_000);
        assertAgreement(world);
    }

    @Test
    void largeStateIsSentInChunks() {
        SimulatedReplicas world = new SimulatedReplicas(5, 3);
        world.run(500_000);
        StringBuilder body = new StringBuilder("{\"upsert\":{\"tenantTable\":{");
        for (int i = 0; i < 1_000; i++) {
            body.append(i == 0 ? "" : ",")
                    .append("\"n" + i + "\":{\"apiKeys\":[\"k" + i + "\"],\"configVersion\":\"r1\"}");
        }
        assertAccepted(world, world.replica(1), body.append("}}}").toString());
        world.wipe(world.replica(3));
        assertAccepted(world, world.replica(2), change("t", 1, "a"));
        world.start(3);
        world.run(4_000_000);
        assertAgreement(world);
        assertThat(world.replica(3).consensus().committed().configuration().size())
                .isEqualTo(1_001);
        assertAccepted(world, world.replica(3), change("t", 2, "b"));
    }

    /** No peer knows the address of a new replica, so only its seeds lead it to the others. */
    @Test
    void aBlankReplicaAsksTheSeedsThatItIsGivenLater() {
        SimulatedReplicas world = new SimulatedReplicas(3, 3);
        world.run(500_000);
        assertAccepted(world, world.replica(1), change("t", 1, "a"));
        List<String> seeds = world.seeds;
        world.seeds = List.of("10.0.0.77:7");
        Replica fourth = world.start(4);
        world.run(5_000_000);
        assertThat(fourth.consensus().isBlank()).isTrue();
        fourth.consensus().updateSeeds(seeds);
        world.run(5_000_000);
        assertThat(fourth.consensus().isBlank()).isFalse();
        assertThat(world.replica(1).consensus().standbys())
                .contains(fourth.consensus().replicaKey());
    }

    /** Not even if all seeds are blank: a replica that is down may hold a committed state. */
    @ParameterizedTest
    @CsvSource({"3, 3, false", "4, 3, true", "5, 4, true", "3, 2, true", "3, 1, true"})
    void blankReplicasDoNotBootstrapThemselves(int count, int blankCount, boolean lastReturns) {
        SimulatedReplicas world = new SimulatedReplicas(6, count);
        world.run(500_000);
        assertAccepted(world, world.replica(1), change("t", 1, "a"));
        world.run(1_000_000);
        world.runningReplicas().forEach(world::crash);
        world.seeds = world.seeds.subList(0, blankCount);
        for (int i = 1; i <= blankCount; i++) {
            world.wipe(world.replica(i));
            world.start(i);
        }
        for (int step = 0; step < 20; step++) {
            if (step == 10 && lastReturns) {
                world.start(count);
            }
            world.run(1_000_000);
            world.runningReplicas().forEach(replica -> assertThat(world.await(world.read(replica, 500_000)))
                    .isInstanceOf(ProposalResult.Unavailable.class));
            world.runningReplicas()
                    .forEach(replica -> assertThat(world.await(world.submit(replica, change("t", 1, "b"), 500_000)))
                            .isInstanceOf(ProposalResult.Unavailable.class));
        }
        assertThat(world.checks().violation()).isNull();
    }

    /** The operator must name each replica whose state is abandoned; such a replica does not bring its state back. */
    @Test
    void operatorBootstrapsBlankReplicas() {
        SimulatedReplicas world = new SimulatedReplicas(8, 4);
        world.run(500_000);
        assertAccepted(world, world.replica(1), change("t", 1, "a"));
        world.run(1_000_000);
        assertThat(world.bootstrap(world.replica(1), Set.of())).contains("not blank");
        world.runningReplicas().forEach(world::crash);
        for (int i = 1; i <= 3; i++) {
            world.wipe(world.replica(i));
            world.start(i);
        }
        assertThat(world.bootstrap(world.replica(1), Set.of())).contains("still asks");
        world.start(4);
        world.run(3_000_000);
        String fourth = world.replica(4).address();
        assertThat(world.bootstrap(world.replica(1), Set.of())).isEqualTo("held by " + fourth);
        assertThat(world.bootstrap(world.replica(1), Set.of(fourth))).isNull();
        world.run(10_000_000);
        for (Replica replica : world.runningReplicas()) {
            assertThat(replica.consensus().voters())
                    .hasSize(4)
                    .contains(replica.consensus().replicaKey());
            assertThat(replica.consensus().committed().configuration().size()).isZero();
        }
        assertAccepted(world, world.replica(4), change("u", 1, "b"));
    }

    @Test
    void replicaWithALostDiskBreaksNoPromise() {
        assertThat(ConsensusCornerCases.findViolation()).isNull();
    }

    /** After a failed write the contents of the disk are unknown, so they must not be the base of the next write. */
    @Test
    void fullSnapshotIsWrittenAfterAFailedWrite() {
        ConsensusReplica consensus = new ConsensusReplica(
                ConsensusOptions.defaults(), "a", List.of("a"), true, null, 1, new SplittableRandom(1), 0);
        written(consensus, consensus.start(0), 0, true);
        List<Effect> first = consensus.submit(0, 1, parse(change("t", 1, "x")), TIMEOUT_MICROS);
        List<Effect> accept = written(consensus, first, 0, true);
        written(consensus, accept, 0, false);
        written(consensus, consensus.tick(600_000), 600_000, true);
        List<Effect> promise = consensus.submit(700_000, 2, parse(change("u", 1, "y")), TIMEOUT_MICROS);
        StorageUpdate update = write(written(consensus, promise, 700_000, true)).update();
        assertThat(update.fullSnapshot()).isTrue();
        assertThat(Configuration.of(update.items()).get(new ItemKey(ItemType.TENANTS, "u")))
                .isNotNull();
    }

    private static ConfigurationChange parse(String body) {
        return ConfigurationChange.read(body.getBytes(StandardCharsets.UTF_8)).get();
    }

    private static Effect.Write write(List<Effect> effects) {
        return (Effect.Write) effects.stream()
                .filter(Effect.Write.class::isInstance)
                .findFirst()
                .orElseThrow();
    }

    private static List<Effect> written(ConsensusReplica consensus, List<Effect> effects, long now, boolean ok) {
        return consensus.written(now, write(effects).number(), ok);
    }

    @Test
    void invalidMessagesAreIgnored() {
        SimulatedReplicas world = new SimulatedReplicas(7, 3);
        world.run(500_000);
        SplittableRandom random = new SplittableRandom(1);
        ConsensusReplica consensus = world.replica(1).consensus();
        String[] kinds = {
            "prepare",
            "promise",
            "nack",
            "accept",
            "accepted",
            "mismatch",
            "decided",
            "tell",
            "teach",
            "told",
            "fetch",
            "piece",
            "gone",
            "admit",
            "forgetful",
            "other"
        };
        String[] names = {
            "b",
            "base",
            "whole",
            "crew",
            "part",
            "parts",
            "items",
            "life",
            "accepted",
            "promised",
            "decided",
            "forgetful",
            "hearsay"
        };
        Object[] values = {
            "x",
            "0@",
            "-1@a",
            1L,
            -1L,
            1e300,
            true,
            List.of(),
            List.of("a"),
            List.of(1L),
            Map.of(),
            List.of(Map.of()),
            List.of(Map.of("table", "limits", "name", "", "version", 1L, "content", "{")),
            "9999999999999999999@a"
        };
        for (int i = 0; i < 20_000; i++) {
            Map<String, Object> message = new HashMap<>();
            message.put("t", "copies." + kinds[random.nextInt(kinds.length)]);
            for (String name : names) {
                if (random.nextInt(3) > 0) {
                    message.put(name, values[random.nextInt(values.length)]);
                }
            }
            consensus.received(world.now(), "10.9.9.9:1", message);
        }
    }
}
