package org.cypressweir.simulation;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipChange;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.MonitoringRings;
import org.cypressweir.fleet.membership.Peer;

/** A fleet of production {@link MembershipProtocol} instances on a simulated network and clock. */
public final class MembershipSimulation {

    /** A membership change that one member observed. */
    public record ObservedChange(long at, int observer, MembershipChange change) {}

    /** One process of the fleet, running or stopped. */
    public static final class SimulatedMember {
        public final int node;
        public final String name;
        private long startCount;
        private MembershipProtocol protocol;
        /** Why the fleet refused the process; null if it was not refused. */
        private String refusalReason;

        SimulatedMember(int node, String name) {
            this.node = node;
            this.name = name;
        }

        public MembershipProtocol protocol() {
            return protocol;
        }

        public String refusalReason() {
            return refusalReason;
        }
    }

    private static final int FIRST_PORT = 1_000;
    /** Encoded size of a message without records and reports, of a record and of a report. */
    private static final int EMPTY_MESSAGE_BYTES = 75;

    private static final int RECORD_BYTES = 75;
    private static final int REPORT_BYTES = 20;

    public final SimulatedNetwork<MembershipMessage> network;
    public final List<ObservedChange> changes = new ArrayList<>();
    private final MembershipOptions options;
    private final SplittableRandom random;
    private final List<SimulatedMember> members = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> nodesByAddress = new HashMap<>();
    private final MonitoringRings.Cache rings = new MonitoringRings.Cache(512);
    private Consumer<ObservedChange> listener = change -> {};
    private long bytes;

    /** @param seeds number of seed nodes; they are the first members */
    public MembershipSimulation(long seed, int members, int seeds, long pauseMicros) {
        network = new SimulatedNetwork<>(seed);
        random = new SplittableRandom(~seed);
        for (int i = 0; i < members; i++) {
            add("n" + i);
        }
        options = new MembershipOptions(
                "lab",
                address(0),
                address(0),
                this.members.stream()
                        .limit(seeds)
                        .map(member -> address(member.node))
                        .toList(),
                pauseMicros,
                MembershipOptions.defaultPeriodMicros(pauseMicros),
                MembershipOptions.DEFAULT_MAX_MEMBERS,
                null);
    }

    /** Adds a node whose process has not started yet. */
    public SimulatedMember add(String name) {
        SimulatedMember member = new SimulatedMember(network.addNode(), name);
        members.add(member);
        nodesByAddress.put(address(member.node), member.node);
        return member;
    }

    public static InetSocketAddress address(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + node);
    }

    public MembershipOptions options() {
        return options;
    }

    public List<SimulatedMember> all() {
        return members;
    }

    public SimulatedMember get(int i) {
        return members.get(i);
    }

    public void onChange(Consumer<ObservedChange> newListener) {
        listener = newListener;
    }

    /** Approximate payload bytes sent by all members so far, without datagram headers. */
    public long bytes() {
        return bytes;
    }

    /** Starts a process that knows only the seeds. */
    public SimulatedMember start(int i) {
        SimulatedMember member = members.get(i);
        member.refusalReason = null;
        Peer peer = new Peer(
                member.name, random.nextLong(), network.now() / 1_000 + ++member.startCount, 1, address(member.node));
        member.protocol = new MembershipProtocol(
                network.now(),
                options,
                peer,
                Map.of("front", "127.0.0.1:" + (9_000 + i)),
                random.nextLong(),
                new ProtocolActions(member),
                rings);
        network.start(member.node, options.tickMicros(), new ProtocolProcess(member.protocol));
        return member;
    }

    /** Starts all members with complete views, as in a fleet that has been running for a long time. */
    public void startAsEstablishedFleet() {
        List<MemberRecord> known = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            SimulatedMember member = start(i);
            known.add(new MemberRecord(
                    member.protocol.self(), MemberStatus.MEMBER, 1, Map.of("front", "127.0.0.1:" + (9_000 + i)), 0));
        }
        members.forEach(member -> member.protocol.startWithMembers(network.now(), known));
    }

    public void run(long micros) {
        network.run(network.now() + micros);
    }

    /**
     * Runs until the condition holds, which is checked at every tick.
     *
     * @return microseconds until then, or -1 once the limit has passed
     */
    public long await(long limitMicros, BooleanSupplier condition) {
        long startedAt = network.now();
        while (!condition.getAsBoolean()) {
            if (network.now() - startedAt > limitMicros) {
                return -1;
            }
            run(options.tickMicros());
        }
        return network.now() - startedAt;
    }

    /** Whether the view of each observer contains exactly the expected members. */
    public boolean agree(List<SimulatedMember> observers, List<SimulatedMember> expected) {
        for (SimulatedMember observer : observers) {
            if (observer.protocol.liveCount() != expected.size()
                    || !expected.stream().allMatch(member -> observer.protocol.isInView(member.name))) {
                return false;
            }
        }
        return true;
    }

    private record ProtocolProcess(MembershipProtocol protocol) implements SimulatedNetwork.Process<MembershipMessage> {
        @Override
        public void tick(long now) {
            protocol.tick(now);
        }

        @Override
        public void receive(long now, MembershipMessage message) {
            protocol.receive(now, message);
        }
    }

    private final class ProtocolActions implements MembershipProtocol.Actions {
        private final SimulatedMember member;

        ProtocolActions(SimulatedMember member) {
            this.member = member;
        }

        @Override
        public void send(InetSocketAddress to, MembershipMessage message) {
            bytes += EMPTY_MESSAGE_BYTES
                    + (long) RECORD_BYTES * message.records().size()
                    + (long) REPORT_BYTES * message.reports().size();
            network.send(member.node, nodesByAddress.getOrDefault(to, -1), message);
        }

        @Override
        public void viewChanged(MembershipChange change) {
            ObservedChange observed = new ObservedChange(network.now(), member.node, change);
            changes.add(observed);
            listener.accept(observed);
        }

        @Override
        public void nameRefused(String reason) {
            member.refusalReason = reason;
            network.kill(member.node);
        }

        @Override
        public void log(String line) {}
    }
}
