package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareClaim;
import org.cypressweir.fleet.membership.ShareOptions;
import org.cypressweir.fleet.membership.ShareRequester;

/** Checks that shares never add up to more than the whole, in small simulated fleets with faults and clock drift. */
public final class ShareChecks {

    static final long HOLD_MICROS = 1_000_000;
    /** How long the share of a paused process stays in use, in fleets where connections outlive a pause. */
    private static final long LINGER_MICROS = 3 * HOLD_MICROS;

    private static final int MAX_MEMBERS = 40;
    private static final long TICK_MICROS = 20_000;

    private static final class SimulatedFleet {
        final SimulatedNetwork<MembershipMessage> network;
        final SplittableRandom random;
        final int voters;
        final long lingerMicros;
        final SimulatedProcess[] processes;
        double maxTotalShare;

        SimulatedFleet(long seed, int members, int voters, double drift, long lingerMicros) {
            this.lingerMicros = lingerMicros;
            network = new SimulatedNetwork<>(seed);
            random = new SplittableRandom(~seed);
            this.voters = voters;
            processes = new SimulatedProcess[members];
            for (int i = 0; i < members; i++) {
                network.addNode();
                // Each process has its own clock origin and rate.
                start(i, 1 + (random.nextInt(3) - 1) * drift);
            }
        }

        void start(int i, double rate) {
            processes[i] = new SimulatedProcess(this, i, rate, random.nextLong(1_000_000));
            network.start(i, TICK_MICROS, processes[i]);
        }

        /** Advances time and tracks the largest sum of the shares in use by all running processes. */
        void run(long micros) {
            for (long until = network.now() + micros; network.now() < until; ) {
                network.run(network.now() + TICK_MICROS / 4);
                double sum = 0;
                for (SimulatedProcess process : processes) {
                    sum += network.isRunning(process.node) ? process.inUse() : 0;
                }
                maxTotalShare = Math.max(maxTotalShare, sum);
            }
        }

        double smallestShare() {
            double smallest = 1;
            for (SimulatedProcess process : processes) {
                smallest = network.isRunning(process.node) ? Math.min(smallest, process.share()) : smallest;
            }
            return smallest;
        }
    }

    private static final class SimulatedProcess implements SimulatedNetwork.Process<MembershipMessage> {
        final SimulatedFleet fleet;
        final int node;
        final double clockRate;
        final long clockOrigin;
        final Peer self;
        final ShareRequester requester;
        /**
         * Share that stays in use while the process is paused, until its peers close its connections at {@link
         * #openUntil}.
         */
        double openShare;

        /** 0 while the process is not paused. */
        long openUntil;

        SimulatedProcess(SimulatedFleet fleet, int node, double clockRate, long clockOrigin) {
            this.fleet = fleet;
            this.node = node;
            this.clockRate = clockRate;
            this.clockOrigin = clockOrigin;
            InetSocketAddress address = MembershipSimulation.address(node);
            self = new Peer("p" + node, fleet.random.nextLong(), 1, 1, address);
            ShareOptions options = new ShareOptions(
                    IntStream.range(0, fleet.voters)
                            .mapToObj(MembershipSimulation::address)
                            .toList(),
                    HOLD_MICROS,
                    fleet.lingerMicros,
                    MAX_MEMBERS);
            requester = new ShareRequester(
                    clock(),
                    options,
                    address,
                    fleet.random.nextLong(1L << 40),
                    (to, m) -> fleet.network.send(
                            node, to.getPort() - MembershipSimulation.address(0).getPort(), m));
        }

        long clock() {
            return clockOrigin + (long) (fleet.network.now() * clockRate);
        }

        double share() {
            return requester.fraction(clock());
        }

        void pause() {
            fleet.network.pause(node);
            if (openUntil == 0) {
                openShare = share();
                openUntil = fleet.network.now() + fleet.lingerMicros + 1;
            }
        }

        /** Share in use as the servers see it. */
        double inUse() {
            return openUntil == 0 ? share() : fleet.network.now() < openUntil ? openShare : 0;
        }

        @Override
        public void tick(long now) {
            requester.tick(clock(), self);
        }

        @Override
        public void receive(long now, MembershipMessage message) {
            requester.receive(clock(), message, self);
        }
    }

    private ShareChecks() {}

    private static void require(boolean condition, String failure, long seed) {
        if (!condition) {
            throw new AssertionError(failure + ", seed " + seed);
        }
    }

    /** Describes the first violation that the seed leads to, or null; called by reflection. */
    public static String broken(long seed) {
        try {
            checkAll(seed);
            return null;
        } catch (AssertionError e) {
            return e.toString();
        }
    }

    static void checkAll(long seed) {
        nobodyTakesTooMuch(seed);
        whatIsLeftIsUsed(seed);
    }

    /** Under random single and combined faults the shares never add up to more than the whole. */
    private static void nobodyTakesTooMuch(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 25; run++) {
            int members = 3 + random.nextInt(6);
            SimulatedFleet fleet = new SimulatedFleet(
                    seed * 100 + run,
                    members,
                    random.nextBoolean() ? 3 : 1,
                    0.04,
                    random.nextBoolean() ? LINGER_MICROS : 0);
            for (int step = 0; step < 14; step++) {
                injectFault(fleet, random, members);
                fleet.run(random.nextLong(4 * HOLD_MICROS + fleet.lingerMicros));
                require(
                        fleet.maxTotalShare <= 1 + 1e-9,
                        "shares add up to " + fleet.maxTotalShare + " in run " + run + " step " + step,
                        seed);
            }
        }
    }

    private static void injectFault(SimulatedFleet fleet, SplittableRandom random, int members) {
        int node = random.nextInt(members);
        int otherNode = random.nextInt(members);
        switch (random.nextInt(12)) {
            case 0 -> fleet.network.kill(node);
            case 1 -> fleet.processes[node].pause();
            case 2 -> fleet.network.setPartition((from, to) -> from <= node == to <= node);
            case 3 -> fleet.network.setPartition((from, to) -> from != node || to == otherNode);
            case 4 -> fleet.network.setPartition((from, to) -> to != node || from == otherNode);
            case 5 -> fleet.network.setConditions(SimulatedNetwork.Conditions.lossy(0.3));
            case 7, 8 -> {
                // Each process is partitioned from one voter, not all from the same one.
                int[] unreachableVoter = random.ints(members, 0, fleet.voters).toArray();
                fleet.network.setPartition((from, to) -> unreachableVoter[from] != to && unreachableVoter[to] != from);
            }
            case 9 -> {
                // A voter restarts without its state, and one process can no longer reach it.
                int voter = random.nextInt(fleet.voters);
                fleet.start(voter, fleet.processes[voter].clockRate);
                fleet.network.setPartition((a, b) -> a != node || b != voter);
            }
            case 6 -> fleet.network.setConditions(
                    new SimulatedNetwork.Conditions(0.1, 0.3, 0.5, 3 * HOLD_MICROS, 200, 50_000));
            default -> {
                fleet.network.setPartition((from, to) -> true);
                fleet.network.setConditions(SimulatedNetwork.Conditions.RELIABLE);
                for (int i = 0; i < members; i++) {
                    fleet.processes[i].openUntil = 0;
                    if (!fleet.network.isRunning(i)) {
                        fleet.start(i, fleet.processes[i].clockRate);
                    } else {
                        fleet.network.resume(i);
                    }
                }
            }
        }
    }

    /** Connected processes get equal shares; once half are gone, the rest gets their shares within the release time. */
    private static void whatIsLeftIsUsed(long seed) {
        SimulatedFleet fleet = new SimulatedFleet(seed, 8, 3, 0, 0);
        fleet.run(3 * ShareClaim.releaseMicros(HOLD_MICROS, 0));
        require(
                Math.abs(fleet.smallestShare() - ShareClaim.CLAIMABLE_FRACTION / 8) < 1e-9,
                "the smallest share is " + fleet.smallestShare() + " with eight processes",
                seed);
        for (int i = 4; i < 8; i++) {
            fleet.network.kill(i);
        }
        fleet.run(ShareClaim.releaseMicros(HOLD_MICROS, 0) + HOLD_MICROS / 2);
        require(
                Math.abs(fleet.smallestShare() - ShareClaim.CLAIMABLE_FRACTION / 4) < 1e-9,
                "the smallest share is " + fleet.smallestShare() + " with four processes",
                seed);
        fleet.network.kill(0);
        fleet.network.kill(1);
        fleet.run(HOLD_MICROS + TICK_MICROS);
        require(
                fleet.smallestShare() < 0.01,
                "smallest share without a quorum of voters: " + fleet.smallestShare(),
                seed);
        require(fleet.maxTotalShare <= 1 + 1e-9, "shares add up to " + fleet.maxTotalShare, seed);
    }
}
