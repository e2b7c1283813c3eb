package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipChange;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.simulation.MembershipSimulation.ObservedChange;
import org.cypressweir.simulation.MembershipSimulation.SimulatedMember;

/**
 * Checks of the guarantees of membership, in simulated time. They do not depend on the test library, so that they can
 * also run against a {@link MembershipProtocol} with an injected fault.
 */
public final class MembershipChecks {

    static final long PAUSE_MICROS = 3_000_000;

    /** A check; it throws an AssertionError if its guarantee is violated. */
    interface Check {
        void run(long seed);
    }

    private MembershipChecks() {}

    static Map<String, Check> all() {
        Map<String, Check> all = new LinkedHashMap<>();
        all.put("killed", MembershipChecks::killedMemberIsDetectedWithinTheBound);
        all.put("many killed", MembershipChecks::survivorsOfManyFailuresStayTogether);
        all.put("sleepers", MembershipChecks::shortPausesAndLossRemoveNobody);
        all.put("long pause", MembershipChecks::aLongPauseCausesOneRemovalAndReturn);
        all.put("one way", MembershipChecks::oneWayPartitionsGiveOneView);
        all.put("one friend", MembershipChecks::barelyReachableMemberDoesNotFlap);
        all.put("split", MembershipChecks::partitionsHealWithoutRemovals);
        all.put("leaves", MembershipChecks::leavingIsKnownImmediately);
        all.put("one name", MembershipChecks::firstOfTwoProcessesKeepsTheName);
        all.put("starts", MembershipChecks::allStartOrdersFormOneView);
        all.put("late words", MembershipChecks::messagesAboutEarlierIncarnationsAreIgnored);
        all.put("facts", MembershipChecks::newestFactsWin);
        all.put("made-up names", MembershipChecks::inventedNamesAreBounded);
        all.put("walk", MembershipChecks::randomFaultsEndInOneView);
        return all;
    }

    /** Describes the violation of a check for a seed, or null; called by reflection. */
    public static String broken(String check, long seed) {
        try {
            all().get(check).run(seed);
            return null;
        } catch (AssertionError | RuntimeException e) {
            return e.toString();
        }
    }

    private static void require(boolean condition, String failure, MembershipSimulation fleet) {
        if (!condition) {
            List<ObservedChange> lastChanges =
                    fleet.changes.subList(Math.max(0, fleet.changes.size() - 8), fleet.changes.size());
            throw new AssertionError(failure + " at " + fleet.network.now() + "; last changes " + lastChanges);
        }
    }

    private static MembershipSimulation establishedFleet(long seed, int members) {
        MembershipSimulation fleet = new MembershipSimulation(seed, members, Math.min(3, members), PAUSE_MICROS);
        fleet.startAsEstablishedFleet();
        fleet.run(2_000_000);
        require(fleet.changes.isEmpty(), "the view of a healthy fleet changed", fleet);
        return fleet;
    }

    private static List<SimulatedMember> membersAt(MembershipSimulation fleet, int... nodes) {
        return IntStream.of(nodes).mapToObj(fleet::get).toList();
    }

    private static List<SimulatedMember> range(MembershipSimulation fleet, int from, int to) {
        return fleet.all().subList(from, to);
    }

    /** After the network heals, all members soon have all others in view, and in the end none is suspected. */
    private static void requireHealing(MembershipSimulation fleet, String failure) {
        fleet.network.setPartition((from, to) -> true);
        fleet.network.setConditions(SimulatedNetwork.Conditions.RELIABLE);
        require(
                fleet.await(3 * PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0,
                failure + " does not heal",
                fleet);
        fleet.run(8 * PAUSE_MICROS);
        require(fleet.agree(fleet.all(), fleet.all()), failure + " does not stay healed", fleet);
        for (SimulatedMember member : fleet.all()) {
            for (Map.Entry<String, MembershipProtocol.MemberView> view :
                    member.protocol().members().entrySet()) {
                require(
                        view.getValue().state().equals("alive"),
                        failure + ": " + member.name + " still sees " + view.getKey() + " "
                                + view.getValue().state(),
                        fleet);
            }
        }
        fleet.changes.clear();
    }

    private static void requireStability(MembershipSimulation fleet, String failure) {
        fleet.changes.clear();
        fleet.run(10 * PAUSE_MICROS);
        require(fleet.changes.isEmpty(), failure + " keeps changing the view", fleet);
    }

    private static long countOut(MembershipSimulation fleet) {
        return fleet.changes.stream()
                .filter(s -> s.change().kind() == MembershipChange.Kind.OUT)
                .count();
    }

    static void killedMemberIsDetectedWithinTheBound(long seed) {
        for (int members : new int[] {2, 5, 24}) {
            MembershipSimulation fleet = establishedFleet(seed, members);
            fleet.network.kill(members - 1);
            List<SimulatedMember> rest = range(fleet, 0, members - 1);
            long detectionMicros = fleet.await(fleet.options().detectionMicros(), () -> fleet.agree(rest, rest));
            require(detectionMicros >= 0, "a killed member was not detected", fleet);
            require(detectionMicros > fleet.options().pauseMicros(), "removed before the pause was over", fleet);
            require(fleet.changes.size() == members - 1, "members besides the killed one changed", fleet);
            fleet.start(members - 1);
            requireHealing(fleet, "a restart");
        }
    }

    /** Members that lose all monitoring neighbours at once are neither removed nor isolated. */
    static void survivorsOfManyFailuresStayTogether(long seed) {
        for (int run = 0; run < 6; run++) {
            MembershipSimulation fleet = establishedFleet(seed + run, 30);
            IntStream.range(0, 18).forEach(fleet.network::kill);
            List<SimulatedMember> rest = range(fleet, 18, 30);
            require(
                    fleet.await(fleet.options().detectionMicros() + PAUSE_MICROS, () -> fleet.agree(rest, rest)) >= 0,
                    "the survivors do not agree",
                    fleet);
            require(
                    fleet.changes.stream()
                            .allMatch(s -> Integer.parseInt(s.change().name().substring(1)) < 18),
                    "a survivor was removed",
                    fleet);
        }
    }

    static void shortPausesAndLossRemoveNobody(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 24);
        SplittableRandom random = new SplittableRandom(seed);
        fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
        for (int second = 0; second < 120; second++) {
            int sleeper = random.nextInt(24);
            fleet.network.pause(sleeper);
            fleet.network.schedule(
                    fleet.network.now() + 100_000 + random.nextLong(PAUSE_MICROS - 150_000),
                    () -> fleet.network.resume(sleeper));
            fleet.run(1_000_000);
        }
        fleet.run(2 * PAUSE_MICROS);
        require(fleet.changes.isEmpty(), "a healthy member was removed", fleet);
    }

    static void aLongPauseCausesOneRemovalAndReturn(long seed) {
        for (int members : new int[] {2, 9}) {
            MembershipSimulation fleet = establishedFleet(seed, members);
            fleet.network.pause(1);
            fleet.run(4 * PAUSE_MICROS);
            List<SimulatedMember> rest =
                    fleet.all().stream().filter(member -> member.node != 1).toList();
            require(fleet.agree(rest, rest), "a long pause was not detected", fleet);
            fleet.network.resume(1);
            require(
                    fleet.await(PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0,
                    "the paused member does not rejoin",
                    fleet);
            fleet.run(4 * PAUSE_MICROS);
            require(fleet.get(1).protocol().self().incarnation() == 2, "rejoined more than once", fleet);
            require(
                    fleet.changes.stream().allMatch(s -> s.change().name().equals("n1")),
                    "the paused member reported others as failed",
                    fleet);
            require(fleet.changes.size() == 2 * (members - 1), "removed and rejoined more than once", fleet);
        }
    }

    static void oneWayPartitionsGiveOneView(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 12);
        List<SimulatedMember> rest = range(fleet, 1, 12);
        SimulatedNetwork.Partition cannotReceive = (from, to) -> to != 0;
        SimulatedNetwork.Partition cannotSend = (from, to) -> from != 0;
        for (SimulatedNetwork.Partition partition : List.of(cannotReceive, cannotSend)) {
            fleet.network.setPartition(partition);
            require(
                    fleet.await(
                                    fleet.options().detectionMicros() + PAUSE_MICROS,
                                    () -> fleet.agree(rest, rest)
                                            && fleet.get(0).protocol().liveCount() == 1)
                            >= 0,
                    "a member partitioned in one direction is not removed",
                    fleet);
            requireStability(fleet, "a one-way partition");
            requireHealing(fleet, "a one-way partition");
        }
        fleet.network.setPartition((from, to) -> !(from == 3 && to == 4) && !(from == 4 && to == 9));
        fleet.run(4 * PAUSE_MICROS);
        require(fleet.changes.isEmpty(), "a pair that cannot communicate removed a member", fleet);
        requireHealing(fleet, "a pair");
        fleet.network.setPartition((from, to) -> from != 5 || to % 2 == 0);
        fleet.run(4 * PAUSE_MICROS);
        boolean in = fleet.get(0).protocol().isInView("n5");
        require(
                fleet.all().stream()
                        .filter(member -> member.node != 5)
                        .allMatch(member -> member.protocol().isInView("n5") == in),
                "a member that half can hear is in only some views",
                fleet);
        requireStability(fleet, "a member that half can hear");
        requireHealing(fleet, "a member that half can hear");
        fleet.network.setPartition((from, to) -> !(from < 5 && to >= 5));
        require(
                fleet.await(
                                4 * PAUSE_MICROS,
                                () -> fleet.agree(range(fleet, 0, 5), range(fleet, 0, 5))
                                        && fleet.agree(range(fleet, 5, 12), range(fleet, 5, 12)))
                        >= 0,
                "two groups partitioned in one direction",
                fleet);
        requireStability(fleet, "two groups partitioned in one direction");
        requireHealing(fleet, "two groups partitioned in one direction");
    }

    static void barelyReachableMemberDoesNotFlap(long seed) {
        for (int reachableNode : new int[] {7, 13, 22}) {
            MembershipSimulation fleet = establishedFleet(seed + reachableNode, 30);
            fleet.network.setPartition(
                    (from, to) -> from != 0 && to != 0 || from == reachableNode || to == reachableNode);
            fleet.run(4 * PAUSE_MICROS);
            requireStability(fleet, "a member that few can reach");
            requireHealing(fleet, "a member that few can reach");
        }
    }

    static void partitionsHealWithoutRemovals(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 14);
        fleet.network.setPartition((from, to) -> partitionOf(from) == partitionOf(to));
        require(
                fleet.await(
                                4 * PAUSE_MICROS,
                                () -> fleet.agree(range(fleet, 0, 2), range(fleet, 0, 2))
                                        && fleet.agree(range(fleet, 2, 6), range(fleet, 2, 6))
                                        && fleet.agree(range(fleet, 6, 14), range(fleet, 6, 14)))
                        >= 0,
                "three partitions do not form three views",
                fleet);
        requireStability(fleet, "a split");
        fleet.network.setPartition((from, to) -> true);
        require(
                fleet.await(3 * PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0,
                "a split does not heal",
                fleet);
        require(countOut(fleet) == 0, "healing removed a member", fleet);
        requireHealing(fleet, "a split");
    }

    private static int partitionOf(int place) {
        return place < 2 ? 0 : place < 6 ? 1 : 2;
    }

    static void leavingIsKnownImmediately(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 9);
        fleet.get(3).protocol().leave(fleet.network.now());
        fleet.run(400_000);
        fleet.network.kill(3);
        List<SimulatedMember> rest = membersAt(fleet, 0, 1, 2, 4, 5, 6, 7, 8);
        require(fleet.agree(rest, rest), "leaving was not detected", fleet);
        require(
                fleet.changes.size() == 8
                        && fleet.changes.stream().allMatch(s -> s.change().kind() == MembershipChange.Kind.LEFT),
                "leaving was reported as another change",
                fleet);
        fleet.run(4 * PAUSE_MICROS);
        require(fleet.agree(rest, rest) && fleet.changes.size() == 8, "the leaving member was also removed", fleet);
    }

    static void firstOfTwoProcessesKeepsTheName(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 5);
        SimulatedMember second = fleet.add("n2");
        fleet.start(second.node);
        fleet.run(PAUSE_MICROS);
        require(
                second.refusalReason() != null && second.refusalReason().contains("'n2'"),
                "the second process was not refused",
                fleet);
        require(
                fleet.agree(range(fleet, 0, 5), range(fleet, 0, 5)) && fleet.changes.isEmpty(),
                "the first process did not keep the name",
                fleet);
        // While the first is paused the second waits; it is refused once the first resumes.
        fleet.network.pause(2);
        fleet.start(second.node);
        fleet.run(PAUSE_MICROS * 9 / 10);
        require(second.refusalReason() == null, "refused while the first is paused", fleet);
        fleet.network.resume(2);
        fleet.run(PAUSE_MICROS);
        require(second.refusalReason() != null && fleet.changes.isEmpty(), "the paused process lost its name", fleet);
        // The name of a removed member is free again, also at another address.
        fleet.network.kill(2);
        fleet.start(second.node);
        List<SimulatedMember> now = membersAt(fleet, 0, 1, 3, 4, 5);
        require(fleet.await(4 * PAUSE_MICROS, () -> fleet.agree(now, now)) >= 0, "the name stays taken", fleet);
        require(second.protocol().self().incarnation() > 1, "two processes with the same incarnation", fleet);
    }

    static void allStartOrdersFormOneView(long seed) {
        MembershipSimulation fleet = new MembershipSimulation(seed, 12, 3, PAUSE_MICROS);
        for (int i = 0; i < 12; i++) {
            int nodes = i;
            fleet.network.schedule(fleet.network.now() + 80_000L * i, () -> fleet.start(nodes));
        }
        require(
                fleet.await(
                                2 * PAUSE_MICROS,
                                () -> fleet.all().stream().allMatch(member -> member.protocol() != null)
                                        && fleet.agree(fleet.all(), fleet.all()))
                        >= 0,
                "a start of all within a second does not converge",
                fleet);
        requireHealing(fleet, "a start");
        IntStream.range(0, 12).forEach(fleet.network::kill);
        fleet.run(2 * PAUSE_MICROS);
        IntStream.range(0, 12).forEach(fleet::start);
        require(
                fleet.await(2 * PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0,
                "a restart of all does not converge",
                fleet);
        requireHealing(fleet, "a restart of all");
        fleet.network.kill(0);
        fleet.network.kill(1);
        fleet.run(3 * PAUSE_MICROS);
        fleet.network.kill(9);
        fleet.run(3 * PAUSE_MICROS);
        fleet.start(9);
        List<SimulatedMember> running = range(fleet, 2, 12);
        require(
                fleet.await(2 * PAUSE_MICROS, () -> fleet.agree(running, running)) >= 0,
                "a join through the only running seed failed",
                fleet);
    }

    static void messagesAboutEarlierIncarnationsAreIgnored(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 6);
        Peer first = fleet.get(5).protocol().self();
        MemberRecord staleRecord = new MemberRecord(first, MemberStatus.MEMBER, 7, Map.of("front", "old"), 0);
        fleet.network.kill(5);
        fleet.run(3 * PAUSE_MICROS);
        fleet.start(5);
        require(fleet.await(2 * PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0, "a restart", fleet);
        fleet.changes.clear();
        deliver(fleet, 0, first, staleRecord);
        fleet.run(3 * PAUSE_MICROS);
        require(
                fleet.changes.isEmpty() && fleet.agree(fleet.all(), fleet.all()),
                "a message about an earlier incarnation changed the view",
                fleet);
        require(
                !"old"
                        .equals(fleet.get(2)
                                .protocol()
                                .members()
                                .get("n5")
                                .record()
                                .facts()
                                .get("front")),
                "facts of an earlier incarnation were accepted",
                fleet);
        fleet.network.kill(5);
        fleet.run(2 * PAUSE_MICROS);
        fleet.changes.clear();
        fleet.run(240_000_000);
        deliver(
                fleet,
                0,
                fleet.get(5).protocol().self(),
                new MemberRecord(fleet.get(5).protocol().self(), MemberStatus.MEMBER, 9, Map.of(), 0));
        fleet.run(3 * PAUSE_MICROS);
        require(fleet.changes.isEmpty(), "a message four minutes late brought a removed member back", fleet);
    }

    private static void deliver(MembershipSimulation fleet, int to, Peer from, MemberRecord... entries) {
        fleet.get(to)
                .protocol()
                .receive(
                        fleet.network.now(),
                        new MembershipMessage(
                                MembershipMessage.Kind.NEWS,
                                from,
                                "n" + to,
                                0,
                                0,
                                List.of(entries),
                                List.of(),
                                List.of(),
                                ""));
    }

    static void newestFactsWin(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 9);
        fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
        for (int i = 0; i < 6; i++) {
            fleet.get(2).protocol().updateFacts(fleet.network.now(), Map.of("state", "step " + i));
            fleet.run(130_000);
        }
        fleet.run(2 * PAUSE_MICROS);
        for (SimulatedMember member : fleet.all()) {
            String state =
                    member.protocol().members().get("n2").record().facts().get("state");
            require("step 5".equals(state), member.name + " knows '" + state + "'", fleet);
        }
    }

    static void inventedNamesAreBounded(long seed) {
        MembershipSimulation fleet = establishedFleet(seed, 5);
        long before = fleet.network.sent();
        List<MemberRecord> records = new ArrayList<>();
        Peer sender = fleet.get(1).protocol().self();
        for (int i = 0; i < 100_000; i++) {
            records.add(new MemberRecord(
                    new Peer("x" + i, i, 1, 1, new InetSocketAddress("127.0.0.1", 7)),
                    MemberStatus.OUT,
                    0,
                    Map.of(),
                    0));
            if (records.size() == 10) {
                deliver(fleet, 0, sender, records.toArray(new MemberRecord[0]));
                records.clear();
            }
        }
        require(fleet.get(0).protocol().members().size() <= fleet.options().maxMembers(), "too many names", fleet);
        fleet.run(10_000_000);
        require(fleet.agree(fleet.all(), fleet.all()), "invented names changed the view", fleet);
        require(fleet.network.sent() - before < 5 * 10 * 1_000, (fleet.network.sent() - before) + " datagrams", fleet);
    }

    /**
     * Random single and combined faults in a small fleet; once they end, all members agree on one view.
     */
    static void randomFaultsEndInOneView(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 12; run++) {
            int members = 3 + random.nextInt(5);
            MembershipSimulation fleet = establishedFleet(seed + run, members);
            for (int step = 0; step < 5; step++) {
                fleet.changes.clear();
                injectFault(fleet, members, random);
                fleet.network.setPartition((from, to) -> true);
                fleet.network.setConditions(SimulatedNetwork.Conditions.RELIABLE);
                IntStream.range(0, members).forEach(i -> {
                    if (fleet.network.isRunning(i)) {
                        fleet.network.resume(i);
                    } else {
                        fleet.start(i);
                    }
                });
                require(
                        fleet.await(4 * PAUSE_MICROS, () -> fleet.agree(fleet.all(), fleet.all())) >= 0,
                        "world " + run + " step " + step + " of seed " + seed + " does not converge",
                        fleet);
            }
        }
    }

    private static void injectFault(MembershipSimulation fleet, int members, SplittableRandom random) {
        int node = random.nextInt(members);
        int otherNode = (node + 1 + random.nextInt(members - 1)) % members;
        long time = random.nextLong(4 * PAUSE_MICROS);
        switch (random.nextInt(6)) {
            case 0 -> fleet.network.kill(node);
            case 1 -> fleet.network.pause(node);
            case 2 -> fleet.network.setPartition((from, to) -> from != node || to == otherNode);
            case 3 -> fleet.network.setPartition((from, to) -> to != node || from == otherNode);
            case 4 -> fleet.network.setPartition((from, to) -> from <= node == to <= node);
            default -> {
                fleet.network.kill(node);
                fleet.network.pause(otherNode);
            }
        }
        if (random.nextBoolean()) {
            fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
        }
        fleet.run(time);
    }
}
