package org.cypressweir.testkit;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/** Corners where a copy forgets at the worst moment, seldom met by drawn days. */
public final class ConsensusCornerCases {

    private ConsensusCornerCases() {}

    /** The first breach, or null. */
    public static String broken() {
        for (long seed = 0; seed < 20; seed++) {
            String promise = promiseForgotten(seed);
            String accept = promise != null ? promise : acceptanceForgotten(seed);
            String words = accept != null ? accept : wordsForTheOldDisk(seed);
            String breach = words != null ? words : learntByABuildBefore(seed);
            if (breach != null) {
                return "seed " + seed + ": " + breach;
            }
        }
        return null;
    }

    private static String order(String key) {
        return "{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + key + "\"],\"configVersion\":\"r1\"}}}}";
    }

    private static void until(SimulatedReplicas world, BooleanSupplier holds) {
        for (int i = 0; i < 300 && !holds.getAsBoolean(); i++) {
            world.run(100);
        }
    }

    /** The second asks while its disk is slow; the third promises, forgets, and helps the first. */
    private static String promiseForgotten(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        Replica second = world.replica(2);
        world.cut(second.address(), world.replica(1).address());
        world.stall(second, 150_000);
        world.submit(second, order("b"), 3_000_000);
        world.run(15_000);
        world.wipe(world.replica(3));
        world.heal();
        world.start(3);
        world.run(40_000);
        long proposalId = world.submit(world.replica(1), order("a"), 3_000_000);
        until(world, () -> world.result(proposalId) != null);
        world.run(8_000_000);
        return end(world);
    }

    /** The second offers while its disk is slow; the third accepts, and forgets. */
    private static String acceptanceForgotten(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        Replica second = world.replica(2);
        long proposalId = world.submit(second, order("b"), 3_000_000);
        until(
                world,
                () -> world.writing(second) != null && world.writing(second).accepted() != null);
        world.cut(second.address(), world.replica(1).address());
        world.stall(second, 300_000);
        world.run(15_000);
        world.wipe(world.replica(3));
        // It asks the others, which may have nothing to tell yet, before the first hears of the offer.
        world.start(3);
        until(world, () -> !world.replica(3).consensus().isBlank());
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
        return end(world);
    }

    /** What was meant for a disk that is lost is not for the one that is there now. */
    private static String wordsForTheOldDisk(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        world.wipe(world.replica(3));
        Replica third = world.start(3);
        until(world, () -> !third.consensus().isBlank());
        String old = third.address();
        List<Map<String, Object>> words = List.of(
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
        boolean answered = words.stream().anyMatch(word -> third.consensus().received(world.now(), "x", word).stream()
                .anyMatch(Effect.Write.class::isInstance));
        return answered ? "the new disk takes what was meant for the old one" : null;
    }

    /** A build before has let a copy learn a state that only one has voted for. */
    private static String learntByABuildBefore(long seed) {
        SimulatedReplicas world = new SimulatedReplicas(seed, 3);
        world.run(500_000);
        List<Replica> all = world.up();
        all.forEach(world::crash);
        List<String> voters = all.stream().map(Replica::address).toList();
        ProposalNumber voted = new ProposalNumber(50, voters.get(0));
        ProposalNumber before = new ProposalNumber(40, voters.get(1));
        world.start(1, new PersistentState(voted, voted, voters, List.of(), false));
        world.start(3, new PersistentState(new ProposalNumber(60, voters.get(1)), voted, voters, List.of(), true));
        boolean shown = false;
        for (int i = 0; i < 400; i++) {
            world.run(10_000);
            if (i == 200) {
                world.start(2, new PersistentState(before, before, voters, List.of(), false));
            }
            shown |= world.up().stream()
                    .anyMatch(h -> h.consensus().committed().number().equals(voted));
        }
        return shown ? "what one has voted for is shown" : end(world);
    }

    private static String end(SimulatedReplicas world) {
        if (world.checks().breach() == null) {
            world.checks()
                    .above(
                            world.checks().floor(),
                            world.replica(1).consensus().committed().configuration(),
                            "shown");
        }
        return world.checks().breach();
    }
}
