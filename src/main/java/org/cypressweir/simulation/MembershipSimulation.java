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
import org.cypressweir.fleet.membership.Change;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.MonitoringRings;
import org.cypressweir.fleet.membership.Peer;

/** A fleet of the program's own memberships in made-up time. */
public final class MembershipSimulation {

    /** A change that one of them has seen. */
    public record Seen(long at, int by, Change change) {}

    /** One process, or one that was. */
    public static final class SimulatedMember {
        public final int place;
        public final String name;
        private long lives;
        private MembershipProtocol core;
        /** Why it was refused; null while it was not. */
        private String refused;

        SimulatedMember(int place, String name) {
            this.place = place;
            this.name = name;
        }

        public MembershipProtocol core() {
            return core;
        }

        public String refused() {
            return refused;
        }
    }

    private static final int FIRST_PORT = 1_000;
    /** Bytes of a message with nothing in it, of an entry and of a report, as they are on the wire. */
    private static final int BARE = 75;

    private static final int ENTRY = 75;
    private static final int REPORT = 20;

    public final SimulatedNetwork<MembershipMessage> net;
    public final List<Seen> changes = new ArrayList<>();
    private final MembershipOptions plan;
    private final SplittableRandom random;
    private final List<SimulatedMember> members = new ArrayList<>();
    private final Map<InetSocketAddress, Integer> places = new HashMap<>();
    private final MonitoringRings.Cache rings = new MonitoringRings.Cache(512);
    private Consumer<Seen> listener = seen -> {};
    private long bytes;

    /** @param seeds how many of the first members are seeds */
    public MembershipSimulation(long seed, int members, int seeds, long pauseMicros) {
        net = new SimulatedNetwork<>(seed);
        random = new SplittableRandom(~seed);
        for (int i = 0; i < members; i++) {
            add("n" + i);
        }
        plan = new MembershipOptions(
                "lab",
                address(0),
                address(0),
                this.members.stream().limit(seeds).map(f -> address(f.place)).toList(),
                pauseMicros,
                MembershipOptions.defaultPeriodMicros(pauseMicros),
                MembershipOptions.DEFAULT_MAX_MEMBERS,
                null);
    }

    /** One more place, with a process that has not started. */
    public SimulatedMember add(String name) {
        SimulatedMember member = new SimulatedMember(net.place(), name);
        members.add(member);
        places.put(address(member.place), member.place);
        return member;
    }

    public static InetSocketAddress address(int place) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), FIRST_PORT + place);
    }

    public MembershipOptions plan() {
        return plan;
    }

    public List<SimulatedMember> all() {
        return members;
    }

    public SimulatedMember get(int i) {
        return members.get(i);
    }

    public void onChange(Consumer<Seen> next) {
        listener = next;
    }

    /** Bytes sent by all so far, about: what a datagram takes on the wire, without its headers. */
    public long bytes() {
        return bytes;
    }

    /** Starts a process that knows nothing but the seeds. */
    public SimulatedMember start(int i) {
        SimulatedMember f = members.get(i);
        f.refused = null;
        Peer peer = new Peer(f.name, random.nextLong(), net.now() / 1_000 + ++f.lives, 1, address(f.place));
        f.core = new MembershipProtocol(
                net.now(),
                plan,
                peer,
                Map.of("front", "127.0.0.1:" + (9_000 + i)),
                random.nextLong(),
                new Acts(f),
                rings);
        net.start(f.place, plan.tickMicros(), new Runs(f.core));
        return f;
    }

    /** Starts all as if they had known each other for long. */
    public void startTogether() {
        List<MemberRecord> known = new ArrayList<>();
        for (int i = 0; i < members.size(); i++) {
            SimulatedMember f = start(i);
            known.add(new MemberRecord(
                    f.core.self(), MemberStatus.MEMBER, 1, Map.of("front", "127.0.0.1:" + (9_000 + i)), 0));
        }
        members.forEach(f -> f.core.startWithMembers(net.now(), known));
    }

    public void run(long micros) {
        net.run(net.now() + micros);
    }

    /** Plays on until this holds, looked at each beat; the time that it took, or -1 past the limit. */
    public long await(long limit, BooleanSupplier holds) {
        long begun = net.now();
        while (!holds.getAsBoolean()) {
            if (net.now() - begun > limit) {
                return -1;
            }
            run(plan.tickMicros());
        }
        return net.now() - begun;
    }

    /** Whether each of these has just these in its view. */
    public boolean agree(List<SimulatedMember> among, List<SimulatedMember> on) {
        for (SimulatedMember f : among) {
            if (f.core.liveCount() != on.size() || !on.stream().allMatch(o -> f.core.isInView(o.name))) {
                return false;
            }
        }
        return true;
    }

    private record Runs(MembershipProtocol core) implements SimulatedNetwork.Process<MembershipMessage> {
        @Override
        public void tick(long now) {
            core.tick(now);
        }

        @Override
        public void receive(long now, MembershipMessage message) {
            core.receive(now, message);
        }
    }

    private final class Acts implements MembershipProtocol.Actions {
        private final SimulatedMember member;

        Acts(SimulatedMember member) {
            this.member = member;
        }

        @Override
        public void send(InetSocketAddress to, MembershipMessage message) {
            bytes += BARE
                    + (long) ENTRY * message.records().size()
                    + (long) REPORT * message.reports().size();
            net.send(member.place, places.getOrDefault(to, -1), message);
        }

        @Override
        public void changed(Change change) {
            Seen seen = new Seen(net.now(), member.place, change);
            changes.add(seen);
            listener.accept(seen);
        }

        @Override
        public void refused(String reason) {
            member.refused = reason;
            net.kill(member.place);
        }

        @Override
        public void log(String line) {}
    }
}
