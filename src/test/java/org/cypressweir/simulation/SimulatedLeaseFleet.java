package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.cypressweir.fleet.lease.LeaseMessage;
import org.cypressweir.fleet.lease.LeaseOptions;
import org.cypressweir.fleet.lease.Leases;
import org.cypressweir.testkit.LeaseHistory;

/** Processes that use leases in simulated time, each with its own clock origin and rate. */
final class SimulatedLeaseFleet {

    static final long TERM_MICROS = 2_000_000;
    static final double CLOCK_DRIFT = 0.05;
    static final long TICK_MICROS = 20_000;

    record AddressedMessage(InetSocketAddress from, LeaseMessage message) {}

    final SimulatedNetwork<AddressedMessage> network;
    final SplittableRandom random;
    final LeaseOptions options;
    final LeaseProcess[] processes;
    final LeaseHistory history = new LeaseHistory();
    /** Acquisitions in order, as lease and node. */
    final List<String> acquisitions = new ArrayList<>();
    /** Interval at which each holder acts. */
    long checkIntervalMicros = TICK_MICROS / 4;
    /** Messages received, by node. */
    final long[] receivedCounts;

    private final Map<String, Long> unheldSince = new HashMap<>();
    final List<Long> unheldMicros = new ArrayList<>();
    private final double realDrift;
    private final boolean anyWallClock;

    /**
     * @param realDrift actual drift of the clocks, which may exceed the configured bound
     * @param anyWallClock whether wall clocks are set arbitrarily at each start
     */
    SimulatedLeaseFleet(long seed, int processCount, int grantors, int leases, double realDrift, boolean anyWallClock) {
        this.anyWallClock = anyWallClock;
        network = new SimulatedNetwork<>(seed);
        random = new SplittableRandom(~seed);
        this.realDrift = realDrift;
        Map<String, Long> terms = new TreeMap<>();
        for (int i = 0; i < leases; i++) {
            terms.put("task" + i, TERM_MICROS);
        }
        options = new LeaseOptions(
                IntStream.range(0, grantors)
                        .mapToObj(MembershipSimulation::address)
                        .toList(),
                null,
                TERM_MICROS,
                CLOCK_DRIFT,
                !anyWallClock,
                terms);
        processes = new LeaseProcess[processCount];
        receivedCounts = new long[processCount];
        for (int i = 0; i < processCount; i++) {
            network.addNode();
            start(i);
        }
    }

    void start(int i) {
        double clockRate = 1 + (random.nextInt(3) - 1) * realDrift;
        // Either arbitrary, or following simulated time.
        long wallClockMillis =
                anyWallClock ? random.nextLong(4_000_000_000_000L) : 1_800_000_000_000L + network.now() / 1_000;
        processes[i] = new LeaseProcess(i, clockRate, random.nextLong(1_000_000_000), wallClockMillis);
        network.start(i, TICK_MICROS, processes[i]);
    }

    final class LeaseProcess implements SimulatedNetwork.Process<AddressedMessage>, Leases.Actions {
        final int node;
        final double clockRate;
        final long clockOrigin;
        final Leases leases;
        final String incarnationId;
        boolean paused;

        LeaseProcess(int node, double clockRate, long clockOrigin, long unixMillis) {
            this.node = node;
            this.clockRate = clockRate;
            this.clockOrigin = clockOrigin;
            incarnationId = Long.toHexString(random.nextLong());
            leases = new Leases(
                    clock(),
                    options,
                    MembershipSimulation.address(node),
                    "n" + node,
                    incarnationId,
                    unixMillis,
                    random.nextLong(),
                    this);
        }

        long clock() {
            return clockOrigin + (long) (network.now() * clockRate);
        }

        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            network.send(
                    node,
                    to.getPort() - MembershipSimulation.address(0).getPort(),
                    new AddressedMessage(MembershipSimulation.address(node), message));
        }

        @Override
        public void acquired(String lease, long token) {
            acquisitions.add(lease + " " + node);
        }

        @Override
        public void ended(String lease, long token, String reason) {}

        @Override
        public void tick(long now) {
            leases.tick(clock());
        }

        @Override
        public void receive(long now, AddressedMessage message) {
            receivedCounts[node]++;
            leases.receive(clock(), message.from, message.message);
        }
    }

    void pause(int i) {
        network.pause(i);
        processes[i].paused = true;
    }

    /** Resumes a process; its first action is to use its lease if it believes that it still holds it. */
    void resume(int i) {
        processes[i].paused = false;
        checkHolders();
        network.resume(i);
    }

    /** Tells all running processes which processes run, as membership would. */
    void updateMembers() {
        Map<String, InetSocketAddress> running = new LinkedHashMap<>();
        for (LeaseProcess process : processes) {
            if (network.isRunning(process.node) && !process.paused) {
                running.put("n" + process.node, MembershipSimulation.address(process.node));
            }
        }
        for (LeaseProcess process : processes) {
            if (running.containsKey("n" + process.node)) {
                process.leases.updateMembers(running);
            }
        }
    }

    /** Advances time; at each check every process that holds a lease acts. */
    void run(long micros) {
        for (long until = network.now() + micros; network.now() < until; ) {
            network.run(network.now() + checkIntervalMicros);
            checkHolders();
        }
    }

    private void checkHolders() {
        for (String lease : options.termMicrosByLease().keySet()) {
            boolean isHeld = false;
            for (LeaseProcess process : processes) {
                if (network.isRunning(process.node) && !process.paused) {
                    Leases.Permission permission = process.leases.checkHolding(process.clock(), lease, 0);
                    if (permission.mayAct()) {
                        history.recordAct(
                                lease,
                                "n" + process.node + "/" + process.incarnationId,
                                network.now(),
                                permission.token());
                        isHeld = true;
                    }
                }
            }
            if (isHeld) {
                Long unheldFrom = unheldSince.remove(lease);
                if (unheldFrom != null) {
                    unheldMicros.add(network.now() - unheldFrom);
                }
            } else {
                unheldSince.putIfAbsent(lease, network.now());
            }
        }
    }

    /** Whether each lease is held by a running process. */
    boolean allHeld() {
        return options.termMicrosByLease().keySet().stream().allMatch(lease -> holder(lease) >= 0);
    }

    int holder(String lease) {
        for (LeaseProcess one : processes) {
            if (network.isRunning(one.node)
                    && !one.paused
                    && one.leases.checkHolding(one.clock(), lease, 0).mayAct()) {
                return one.node;
            }
        }
        return -1;
    }
}
