package org.cypressweir.testkit;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/** Cases in which a replica loses its disk at the worst moment, which random fault scenarios rarely reach. */
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

    private static void runUntil(SimulatedReplicas simulation, BooleanSupplier condition) {
        for (int i = 0; i < 300 && !condition.getAsBoolean(); i++) {
            simulation.run(100);
        }
    }

    /**
     * The second replica proposes while its disk is slow. The third promises, loses its disk, and then accepts a
     * proposal of the first: the lost promise must not let two proposals be committed.
     */
    private static String promiseOfALostDisk(long seed) {
        SimulatedReplicas simulation = new SimulatedReplicas(seed, 3);
        simulation.run(500_000);
        Replica second = simulation.replica(2);
        simulation.block(second.address(), simulation.replica(1).address());
        simulation.stallDisk(second, 150_000);
        simulation.submit(second, change("b"), 3_000_000);
        simulation.run(15_000);
        simulation.wipe(simulation.replica(3));
        simulation.heal();
        simulation.start(3);
        simulation.run(40_000);
        long proposalId = simulation.submit(simulation.replica(1), change("a"), 3_000_000);
        runUntil(simulation, () -> simulation.result(proposalId) != null);
        simulation.run(8_000_000);
        return violation(simulation);
    }

    /** The second replica sends accept messages while its disk is slow; the third accepts, then loses its disk. */
    private static String acceptanceOfALostDisk(long seed) {
        SimulatedReplicas simulation = new SimulatedReplicas(seed, 3);
        simulation.run(500_000);
        Replica second = simulation.replica(2);
        long proposalId = simulation.submit(second, change("b"), 3_000_000);
        runUntil(
                simulation,
                () -> simulation.writing(second) != null
                        && simulation.writing(second).accepted() != null);
        simulation.block(second.address(), simulation.replica(1).address());
        simulation.stallDisk(second, 300_000);
        simulation.run(15_000);
        simulation.wipe(simulation.replica(3));
        // The restarted replica queries the others before the first receives the proposal, so they may not have it yet.
        simulation.start(3);
        runUntil(simulation, () -> !simulation.replica(3).consensus().isBlank());
        simulation.heal();
        for (int i = 0; i < 4_000 && simulation.result(proposalId) == null; i++) {
            simulation.run(100);
        }
        simulation.crash(simulation.replica(1));
        simulation.crash(second);
        simulation.start(2);
        long read = simulation.read(simulation.replica(3), 3_000_000);
        simulation.await(read);
        simulation.start(1);
        simulation.run(8_000_000);
        return violation(simulation);
    }

    /** A message for a replica whose disk is lost must not be processed by its successor at the same address. */
    private static String messagesForTheOldDisk(long seed) {
        SimulatedReplicas simulation = new SimulatedReplicas(seed, 3);
        simulation.run(500_000);
        simulation.wipe(simulation.replica(3));
        Replica third = simulation.start(3);
        runUntil(simulation, () -> !third.consensus().isBlank());
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
                .anyMatch(message -> third.consensus().received(simulation.now(), "x", message).stream()
                        .anyMatch(Effect.Write.class::isInstance));
        return answered ? "a message for the old disk is processed with the new one" : null;
    }

    /** A replica has stored a learned state for which only one replica has voted, as an earlier build allowed. */
    private static String learnedByAnEarlierBuild(long seed) {
        SimulatedReplicas simulation = new SimulatedReplicas(seed, 3);
        simulation.run(500_000);
        List<Replica> all = simulation.runningReplicas();
        all.forEach(simulation::crash);
        List<String> voters = all.stream().map(Replica::address).toList();
        ProposalNumber voted = new ProposalNumber(50, voters.get(0));
        ProposalNumber before = new ProposalNumber(40, voters.get(1));
        simulation.start(1, new PersistentState(voted, voted, voters, List.of(), false));
        simulation.start(3, new PersistentState(new ProposalNumber(60, voters.get(1)), voted, voters, List.of(), true));
        boolean published = false;
        for (int i = 0; i < 400; i++) {
            simulation.run(10_000);
            if (i == 200) {
                simulation.start(2, new PersistentState(before, before, voters, List.of(), false));
            }
            published |= simulation.runningReplicas().stream()
                    .anyMatch(h -> h.consensus().committed().number().equals(voted));
        }
        return published ? "a state that one replica has voted for is published" : violation(simulation);
    }

    private static String violation(SimulatedReplicas simulation) {
        if (simulation.checks().violation() == null) {
            simulation
                    .checks()
                    .requireAtLeast(
                            simulation.checks().requiredItems(),
                            simulation.replica(1).consensus().committed().configuration(),
                            "published");
        }
        return simulation.checks().violation();
    }
}
