package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;

/** Guarantees of leases, each checked in simulations with faults drawn from a seed. */
public final class LeaseChecks {

    private static final long TERM_MICROS = SimulatedLeaseFleet.TERM_MICROS;
    /** Time until just started grantors grant leases: they stay silent first, then learn that no tokens are in use. */
    static final long STARTUP_MICROS = 5 * TERM_MICROS / 2;

    private LeaseChecks() {}

    private static void require(boolean condition, String failure, long seed) {
        if (!condition) {
            throw new AssertionError(failure + ", seed " + seed);
        }
    }

    /** Describes the violation of a check for a seed, or null; called by reflection. */
    public static String broken(String check, long seed) {
        try {
            switch (check) {
                case "faults" -> randomFaults(seed, SimulatedLeaseFleet.CLOCK_DRIFT, false);
                case "wall clocks" -> randomFaults(seed, SimulatedLeaseFleet.CLOCK_DRIFT, true);
                case "progress" -> progress(seed);
                case "takeover" -> takeover(seed);
                case "handover" -> handover(seed);
                case "one way" -> oneWayPartition(seed);
                case "quiet" -> stability(seed);
                case "forgetful" -> restartedGrantors(seed);
                case "late answers" -> lateAnswers(seed);
                case "keepers" -> replacedGrantors(seed);
                default -> throw new IllegalArgumentException(check);
            }
            return null;
        } catch (AssertionError e) {
            return e.toString();
        }
    }

    /**
     * Under single and combined faults there are never two holders, and fencing tokens increase. If wall clocks are set
     * arbitrarily, only one grantor is killed or restarted, so that a quorum survives; other processes fail at random.
     */
    static void randomFaults(long seed, double realDrift, boolean anyWallClock) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 8; run++) {
            int processes = 4 + random.nextInt(4);
            int grantors = random.nextBoolean() ? 3 : 5;
            SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(
                    seed * 100 + run, processes, processes < 6 ? 3 : grantors, 2, realDrift, anyWallClock);
            fleet.run(STARTUP_MICROS);
            for (int step = 0; step < 16; step++) {
                injectFault(fleet, random, processes, anyWallClock);
                if (random.nextInt(3) > 0) {
                    fleet.updateMembers();
                }
                fleet.run(random.nextLong(2 * TERM_MICROS));
                List<String> violations = fleet.history.violations();
                require(violations.isEmpty(), "run " + run + " step " + step + ": " + violations, seed);
            }
            require(fleet.history.count() > 0, "no lease was ever held in run " + run, seed);
        }
    }

    private static void injectFault(
            SimulatedLeaseFleet fleet, SplittableRandom random, int processes, boolean quorumSurvives) {
        int node = random.nextInt(processes);
        int otherNode = random.nextInt(processes);
        int grantors = fleet.options.grantors().size();
        switch (random.nextInt(14)) {
            case 0 -> fleet.network.kill(quorumSurvives && node < grantors ? 0 : node);
            case 1, 2 -> fleet.pause(node);
            case 3 -> fleet.network.setPartition((from, to) -> from <= node == to <= node);
            case 4 -> fleet.network.setPartition((from, to) -> from != node || to == otherNode);
            case 5 -> fleet.network.setPartition((from, to) -> to != node || from == otherNode);
            case 6 -> fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.3));
            case 7 -> fleet.network.setConditions(
                    new SimulatedNetwork.Conditions(0.1, 0.3, 0.5, 2 * TERM_MICROS, 200, 50_000));
            case 8 -> fleet.start(quorumSurvives ? 0 : random.nextInt(grantors));
            case 9 -> {
                for (int grantor = 0; grantor < (quorumSurvives ? 1 : grantors); grantor++) {
                    fleet.start(grantor);
                }
            }
            case 10 -> fleet.processes[node].leases.leave(fleet.processes[node].clock(), "requested");
            case 11 -> {
                // Each process is partitioned from one grantor, not all from the same one.
                int[] unreachableGrantor = random.ints(processes, 0, grantors).toArray();
                fleet.network.setPartition(
                        (from, to) -> unreachableGrantor[from] != to && unreachableGrantor[to] != from);
            }
            default -> {
                fleet.network.setPartition((from, to) -> true);
                fleet.network.setConditions(SimulatedNetwork.Conditions.RELIABLE);
                for (int i = 0; i < processes; i++) {
                    if (fleet.processes[i].paused) {
                        fleet.resume(i);
                    } else if (!fleet.network.isRunning(i)) {
                        fleet.start(i);
                    }
                    fleet.processes[i].leases.rejoin();
                }
            }
        }
    }

    /**
     * Processes that do not know each other request a lease at the same time, 20 times: one gets it within two terms.
     */
    private static void progress(long seed) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 6, 3, 1, 0, false);
        fleet.run(STARTUP_MICROS);
        for (int round = 0; round < 20; round++) {
            for (SimulatedLeaseFleet.LeaseProcess process : fleet.processes) {
                process.leases.leave(process.clock(), "again");
            }
            fleet.run(SimulatedLeaseFleet.TICK_MICROS);
            for (SimulatedLeaseFleet.LeaseProcess process : fleet.processes) {
                process.leases.rejoin();
                process.leases.receive(process.clock(), MembershipSimulation.address(0), hint());
            }
            long startedAt = fleet.network.now();
            while (!fleet.allHeld()) {
                fleet.run(SimulatedLeaseFleet.TICK_MICROS / 4);
                require(fleet.network.now() - startedAt < 2 * TERM_MICROS, "no holder after two terms", seed);
            }
        }
        require(fleet.history.violations().isEmpty(), fleet.history.violations().toString(), seed);
    }

    /** A holder that can only send or only receive loses the lease, and another holds it while the partition lasts. */
    private static void oneWayPartition(long seed) {
        for (boolean cannotReceive : new boolean[] {true, false}) {
            SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 5, 3, 1, SimulatedLeaseFleet.CLOCK_DRIFT, false);
            fleet.updateMembers();
            fleet.run(STARTUP_MICROS + TERM_MICROS);
            int partitioned = fleet.holder("task0");
            require(partitioned >= 0, "the lease has no holder", seed);
            fleet.network.setPartition((from, to) -> cannotReceive ? to != partitioned : from != partitioned);
            long startedAt = fleet.network.now();
            while (fleet.holder("task0") < 0 || fleet.holder("task0") == partitioned) {
                fleet.run(SimulatedLeaseFleet.TICK_MICROS);
                require(
                        fleet.network.now() - startedAt <= 2 * TERM_MICROS + 1_000_000,
                        "no other holder after two terms",
                        seed);
            }
            fleet.unheldMicros.clear();
            long sent = fleet.network.sent(partitioned);
            fleet.run(20 * TERM_MICROS);
            // A holder that receives messages also responds as a grantor, so its messages are not bounded.
            require(
                    !cannotReceive || fleet.network.sent(partitioned) - sent <= 100,
                    "messages sent by a process that cannot receive: " + (fleet.network.sent(partitioned) - sent),
                    seed);
            require(
                    fleet.unheldMicros.size() <= 5,
                    "lost " + fleet.unheldMicros.size() + " times during the partition",
                    seed);
            require(
                    fleet.history.violations().isEmpty(),
                    fleet.history.violations().toString(),
                    seed);
        }
    }

    /** Without faults no lease changes its holder, and with 20% message loss few do. */
    private static void stability(long seed) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 6, 3, 6, SimulatedLeaseFleet.CLOCK_DRIFT, false);
        fleet.updateMembers();
        fleet.run(STARTUP_MICROS + 4 * TERM_MICROS);
        fleet.acquisitions.clear();
        fleet.run(20 * TERM_MICROS);
        require(fleet.acquisitions.isEmpty(), "leases moved without a fault: " + fleet.acquisitions, seed);
        fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.2));
        fleet.run(20 * TERM_MICROS);
        require(fleet.acquisitions.size() <= 24, "leases moved under message loss: " + fleet.acquisitions, seed);
    }

    /**
     * A holder keeps its lease with round trips of a third of a term, and another takes over once it is partitioned.
     */
    private static void lateAnswers(long seed) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 6, 3, 1, SimulatedLeaseFleet.CLOCK_DRIFT, false);
        fleet.updateMembers();
        fleet.run(STARTUP_MICROS + TERM_MICROS);
        int holder = fleet.holder("task0");
        require(holder >= 0, "the lease has no holder", seed);
        fleet.network.setConditions(new SimulatedNetwork.Conditions(0, 0, 0, 0, TERM_MICROS / 6, TERM_MICROS / 5));
        fleet.run(3 * TERM_MICROS / 2);
        require(fleet.holder("task0") == holder, "the holder lost its lease to slow responses", seed);
        fleet.network.setPartition((from, to) -> from != holder && to != holder);
        fleet.network.setConditions(SimulatedNetwork.Conditions.RELIABLE);
        fleet.run(3 * TERM_MICROS);
        require(
                fleet.holder("task0") >= 0 && fleet.holder("task0") != holder,
                "no other process took over the lease",
                seed);
        require(fleet.history.violations().isEmpty(), fleet.history.violations().toString(), seed);
    }

    /** One grantor restarts without its state while another never saw the tokens: used tokens are not granted again. */
    private static void restartedGrantors(long seed) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 6, 3, 1, SimulatedLeaseFleet.CLOCK_DRIFT, true);
        fleet.run(STARTUP_MICROS);
        fleet.network.setPartition((from, to) -> from != 2 && to != 2);
        for (int i = 0; i < 3; i++) {
            fleet.processes[i].leases.leave(fleet.processes[i].clock(), "requested");
        }
        fleet.run(4 * TERM_MICROS);
        require(fleet.allHeld(), "two of three grantors do not grant the leases", seed);
        // Tokens increase, and the third grantor sees none of them.
        for (int i = 0; i < 90; i++) {
            SimulatedLeaseFleet.LeaseProcess process = fleet.processes[3 + i % 3];
            process.leases.leave(process.clock(), "requested");
            fleet.run(TERM_MICROS);
            process.leases.rejoin();
        }
        for (int i : new int[] {3, 4, 5, 0}) {
            fleet.start(i);
        }
        fleet.network.setPartition((from, to) -> from != 1 && to != 1);
        fleet.run(12 * TERM_MICROS);
        require(fleet.history.violations().isEmpty(), fleet.history.violations().toString(), seed);
        fleet.network.setPartition((from, to) -> true);
        fleet.run(4 * TERM_MICROS);
        require(
                fleet.allHeld() && fleet.history.violations().isEmpty(),
                "after the partition healed: " + fleet.history.violations(),
                seed);
    }

    /** Grantors are replaced during partitions, by way of a joint configuration of the old and new set. */
    private static void replacedGrantors(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 7, 3, 2, SimulatedLeaseFleet.CLOCK_DRIFT, false);
        fleet.updateMembers();
        fleet.run(STARTUP_MICROS + TERM_MICROS);
        LeaseOptions old = fleet.options;
        List<InetSocketAddress> newGrantors = List.of(
                MembershipSimulation.address(0), MembershipSimulation.address(3), MembershipSimulation.address(4));
        LeaseOptions jointOptions = new LeaseOptions(
                newGrantors,
                old.grantors(),
                old.maxTermMicros(),
                old.clockDrift(),
                old.trustsWallClock(),
                old.termMicrosByLease());
        LeaseOptions newOptions = new LeaseOptions(
                newGrantors,
                null,
                old.maxTermMicros(),
                old.clockDrift(),
                old.trustsWallClock(),
                old.termMicrosByLease());
        require(
                fleet.processes[5].leases.reconfigure(fleet.processes[5].clock(), newOptions) != null,
                "a change to a set whose quorums need not overlap was accepted",
                seed);
        for (LeaseOptions options : List.of(jointOptions, newOptions)) {
            for (int i : random.ints(0, 7).distinct().limit(7).toArray()) {
                int split = random.nextInt(7);
                fleet.network.setPartition((from, to) -> from < split == to < split);
                require(
                        fleet.processes[i].leases.reconfigure(fleet.processes[i].clock(), options) == null,
                        "a safe reconfiguration was rejected",
                        seed);
                fleet.run(random.nextLong(3 * TERM_MICROS));
                require(
                        fleet.history.violations().isEmpty(),
                        fleet.history.violations().toString(),
                        seed);
            }
            fleet.network.setPartition((from, to) -> true);
            fleet.run(4 * TERM_MICROS);
        }
        require(fleet.allHeld(), "the new grantors do not grant the leases", seed);
    }

    private static Map<String, Integer> holders(SimulatedLeaseFleet fleet) {
        Map<String, Integer> holders = new TreeMap<>();
        fleet.options.termMicrosByLease().keySet().forEach(lease -> holders.put(lease, fleet.holder(lease)));
        return holders;
    }

    private static LeaseMessage hint() {
        return new LeaseMessage(LeaseMessage.Kind.HINT, "task0", "", 0, 0, 0, 0, Map.of());
    }

    /** After a holder is killed, another holds the lease within a term and one second. */
    private static void takeover(long seed) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(seed, 6, 3, 3, SimulatedLeaseFleet.CLOCK_DRIFT, false);
        fleet.updateMembers();
        fleet.run(STARTUP_MICROS + TERM_MICROS);
        require(fleet.allHeld(), "not all leases are held", seed);
        for (int round = 0; round < 3; round++) {
            int holder = fleet.holder("task0");
            require(holder >= 0, "the lease has no holder", seed);
            fleet.network.kill(holder);
            long startedAt = fleet.network.now();
            // Membership detects the failure later than the lease expires.
            while (fleet.holder("task0") < 0) {
                fleet.run(SimulatedLeaseFleet.TICK_MICROS);
                require(
                        fleet.network.now() - startedAt <= TERM_MICROS + 1_000_000,
                        "no holder after a term and one second",
                        seed);
            }
            fleet.updateMembers();
            fleet.run(2 * TERM_MICROS);
            fleet.start(holder);
            fleet.run(4 * TERM_MICROS);
            fleet.updateMembers();
            fleet.run(4 * TERM_MICROS);
        }
        require(fleet.history.violations().isEmpty(), fleet.history.violations().toString(), seed);
    }

    /** A leaving holder hands its leases over at once; a joining process takes over no more than its share. */
    private static void handover(long seed) {
        int leases = 20;
        SimulatedLeaseFleet fleet =
                new SimulatedLeaseFleet(seed, 10, 3, leases, SimulatedLeaseFleet.CLOCK_DRIFT, false);
        fleet.network.kill(9);
        fleet.updateMembers();
        fleet.run(STARTUP_MICROS + 6 * TERM_MICROS);
        require(fleet.allHeld(), "not all leases are held", seed);
        int maxLeasesOfOne = 0;
        for (int i = 0; i < 9; i++) {
            int node = i;
            maxLeasesOfOne = Math.max(maxLeasesOfOne, (int) fleet.options.termMicrosByLease().keySet().stream()
                    .filter(lease -> fleet.holder(lease) == node)
                    .count());
        }
        require(maxLeasesOfOne <= Math.ceil(1.25 * leases / 9), "leases at one process: " + maxLeasesOfOne, seed);
        Map<String, Integer> before = holders(fleet);
        fleet.acquisitions.clear();
        fleet.start(9);
        fleet.updateMembers();
        fleet.run(8 * TERM_MICROS);
        require(fleet.allHeld(), "not all leases are held after the join", seed);
        Map<String, Integer> after = holders(fleet);
        long moved = after.keySet().stream()
                .filter(lease -> !after.get(lease).equals(before.get(lease)))
                .count();
        // Its own share of two or three leases, and those that move because of the limit on the others.
        require(
                moved <= leases / 3 && fleet.acquisitions.size() <= moved + 2,
                "after a join " + moved + " leases moved in " + fleet.acquisitions.size() + " steps",
                seed);
        for (int i = 3; i < 10; i++) {
            SimulatedLeaseFleet.LeaseProcess process = fleet.processes[i];
            List<String> heldLeases = fleet.options.termMicrosByLease().keySet().stream()
                    .filter(lease -> fleet.holder(lease) == process.node)
                    .toList();
            process.leases.leave(process.clock(), "requested");
            long startedAt = fleet.network.now();
            while (!heldLeases.stream().allMatch(lease -> fleet.holder(lease) >= 0)) {
                fleet.run(SimulatedLeaseFleet.TICK_MICROS / 4);
                require(fleet.network.now() - startedAt < 400_000, "not handed over within 400 ms", seed);
            }
            process.leases.rejoin();
            fleet.run(TERM_MICROS);
        }
        require(fleet.history.violations().isEmpty(), fleet.history.violations().toString(), seed);
    }
}
