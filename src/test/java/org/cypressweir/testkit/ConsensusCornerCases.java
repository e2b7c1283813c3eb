package org.cypressweir.testkit;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/** Cases in which a replica loses its disk at the worst moment. Random fault scenarios rarely come to them. */
public final class ConsensusCornerCases {

    private static final int SEEDS = 20;

    private ConsensusCornerCases() {}

    /** The first violation, or null. */
    public static String findViolation() {
        List<LongFunction<String>> cases = List.of(
                ConsensusCornerCases::promiseOfALostDisk,
                ConsensusCornerCases::acceptanceOfALostDisk,
                ConsensusCornerCases::messagesForTheOldDisk,
                ConsensusCornerCases::learnedByAnEarlierBuild);
        for (long seed = 0; seed < SEEDS; seed++) {
            for (LongFunction<String> each : cases) {
                String violation = each.apply(seed);
                if (violation != null) {
                    return "seed " + seed + ": " + violation;
                }
            }
        }
        return null;
    }

    private static String change(String key) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r1\"}}}}";
    }

    private static void runUntil(SimulatedReplicas world, BooleanSupplier condition) {
        for (int i = 0; i < 300 && !condition.getAsBoolean(); i++) {
            world.run(100);
        }
    }

    /**
     * The second replica proposes while its disk is slow. The third promises, loses its disk, and accepts from the
     * first.
     */
    private static String promiseOfALostDisk(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        Replica second = world.replica(2);
        world.block(second.address(), world.replica(1).address());
        world.stallDisk(second, 150_000);
        world.submit(second, change("b"), 3_000_000);
        world.run(15_000);
        world.wipe(world.replica(3));
        world.heal();
        world.start(3);
        world.run(40_000);
        long proposalId = world.submit(world.replica(1), change("a"), 3_000_000);
        runUntil(world, () -> world.result(proposalId) != null);
        world.run(8_000_000);
        return violation(world);
    }

    /** The second replica sends accept messages while its disk is slow; the third accepts, and loses its disk. */
    private static String acceptanceOfALostDisk(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        Replica second = world.replica(2);
        long proposalId = world.submit(second, change("b"), 3_000_000);
        runUntil(
                world,
                () -> world.writing(second) != null && world.writing(second).accepted() != null);
        world.block(second.address(), world.replica(1).address());
        world.stallDisk(second, 300_000);
        world.run(15_000);
        world.wipe(world.replica(3));
        // It asks the others, which may not have the proposal yet, before the first receives it.
        world.start(3);
        runUntil(world, () -> !world.replica(3).consensus().isBlank());
        world.heal();
        for (int i = 0; i < 4_000 && world.result(proposalId) == null; i++) {
            world.run(100);
        }
        world.crash(world.replica(1));
        world.crash(second);
        world.start(2);
        long read = world.read(world.replica(3), 3_000_000);
        world.await(read);
        world.start(1);
        world.run(8_000_000);
        return violation(world);
    }

    /** A message for a replica whose disk is lost must not be processed by its successor at the same address. */
    private static String messagesForTheOldDisk(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        world.wipe(world.replica(3));
        Replica third = world.start(3);
        runUntil(world, () -> !third.consensus().isBlank());
        String old = third.address();
        List<Map<String, Object>> messages = List.of(
                Map.of("t", "copies.prepare", "to", old, "b", "99@x"),
                Map.of("t", "copies.prepare", "b", "99@x"),
                Map.of(
                        "t",
                        "copies.accept",
                        "to",
                        old,
                        "b",
                        "99@x",
                        "base",
                        "0@",
                        "whole",
                        true,
                        "crew",
                        List.of(old, "x"),
                        "part",
                        0L,
                        "parts",
                        1L,
                        "items",
                        List.of()));
        boolean answered = messages.stream()
                .anyMatch(message -> third.consensus().received(world.now(), "x", message).stream()
                        .anyMatch(Effect.Write.class::isInstance));
        return answered ? "a message for the old disk is processed with the new one" : null;
    }

    /** An earlier build has let a replica learn a state that only one replica has voted for. */
    private static String learnedByAnEarlierBuild(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        List<Replica> all = world.runningReplicas();
        all.forEach(world::crash);
        List<String> voters = all.stream().map(Replica::address).toList();
        ProposalNumber voted = new ProposalNumber(50, voters.get(0));
        ProposalNumber before = new ProposalNumber(40, voters.get(1));
        world.start(1, new PersistentState(voted, voted, voters, List.of(), false));
        world.start(3, new PersistentState(new ProposalNumber(60, voters.get(1)), voted, voters, List.of(), true));
        boolean published = false;
        for (int i = 0; i < 400; i++) {
            world.run(10_000);
            if (i == 200) {
                world.start(2, new PersistentState(before, before, voters, List.of(), false));
            }
            published |= world.runningReplicas().stream()
                    .anyMatch(h -> h.consensus().committed().number().equals(voted));
        }
        return published ? "a state that one replica has voted for is published" : violation(world);
    }

    private static String violation(SimulatedReplicas world) {
        if (world.checks().breach() == null) {
            world.checks()
                    .requireAtLeast(
                            world.checks().requiredItems(),
                            world.replica(1).consensus().committed().configuration(),
                            "published");
        }
        return world.checks().breach();
    }
}
