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

/** Processes with leases in simulated time, each with a clock of its own origin and rate. */
final class LeaseWorld {

    static final long TERM = 2_000_000;
    static final double DRIFT = 0.05;
    static final long BEAT = 20_000;

    record AddressedMessage(InetSocketAddress from, LeaseMessage message) {}

    final SimulatedNetwork<AddressedMessage> net;
    final SplittableRandom random;
    final LeaseOptions options;
    final One[] all;
    final LeaseHistory acts = new LeaseHistory();
    /** By process: when it began to hold, by lease; for what it moves. */
    final List<String> changes = new ArrayList<>();
    /** How often all processes act that may. */
    long lookMicros = BEAT / 4;
    /** Messages that each process received. */
    final long[] heard;

    private final Map<String, Long> withoutSince = new HashMap<>();
    final List<Long> gaps = new ArrayList<>();
    private final double realDrift;
    private final boolean anyWallClock;

    /**
     * @param realDrift by which clocks' rates do differ
     * @param anyWallClock whether wall clocks are set to anything at each start
     */
    LeaseWorld(long seed, int processes, int grantors, int leases, double realDrift, boolean anyWallClock) {
        this.anyWallClock = anyWallClock;
        net = new SimulatedNetwork<>(seed);
        random = new SplittableRandom(~seed);
        this.realDrift = realDrift;
        Map<String, Long> terms = new TreeMap<>();
        for (int i = 0; i < leases; i++) {
            terms.put("task" + i, TERM);
        }
        options = new LeaseOptions(
                IntStream.range(0, grantors)
                        .mapToObj(MembershipSimulation::address)
                        .toList(),
                null,
                TERM,
                DRIFT,
                !anyWallClock,
                terms);
        all = new One[processes];
        heard = new long[processes];
        for (int i = 0; i < processes; i++) {
            net.place();
            start(i);
        }
    }

    void start(int i) {
        double rate = 1 + (random.nextInt(3) - 1) * realDrift;
        // Going on with time; or set to anything.
        long wall = anyWallClock ? random.nextLong(4_000_000_000_000L) : 1_800_000_000_000L + net.now() / 1_000;
        all[i] = new One(i, rate, random.nextLong(1_000_000_000), wall);
        net.start(i, BEAT, all[i]);
    }

    final class One implements SimulatedNetwork.Process<AddressedMessage>, Leases.Actions {
        final int place;
        final double rate;
        final long origin;
        final Leases leases;
        final String life;
        boolean stands;

        One(int place, double rate, long origin, long unixMillis) {
            this.place = place;
            this.rate = rate;
            this.origin = origin;
            life = Long.toHexString(random.nextLong());
            leases = new Leases(
                    clock(),
                    options,
                    MembershipSimulation.address(place),
                    "n" + place,
                    life,
                    unixMillis,
                    random.nextLong(),
                    this);
        }

        long clock() {
            return origin + (long) (net.now() * rate);
        }

        @Override
        public void send(InetSocketAddress to, LeaseMessage message) {
            net.send(
                    place,
                    to.getPort() - MembershipSimulation.address(0).getPort(),
                    new AddressedMessage(MembershipSimulation.address(place), message));
        }

        @Override
        public void acquired(String lease, long token) {
            changes.add(lease + " " + place);
        }

        @Override
        public void ended(String lease, long token, String reason) {}

        @Override
        public void tick(long now) {
            leases.tick(clock());
        }

        @Override
        public void receive(long now, AddressedMessage m) {
            heard[place]++;
            leases.receive(clock(), m.from, m.message);
        }
    }

    void stand(int i) {
        net.stop(i);
        all[i].stands = true;
    }

    /** What it does first when it wakes is to act, if it takes itself to be allowed to. */
    void go(int i) {
        all[i].stands = false;
        look();
        net.go(i);
    }

    /** Tells all that run who runs, as membership would. */
    void members() {
        Map<String, InetSocketAddress> living = new LinkedHashMap<>();
        for (One one : all) {
            if (net.runs(one.place) && !one.stands) {
                living.put("n" + one.place, MembershipSimulation.address(one.place));
            }
        }
        for (One one : all) {
            if (living.containsKey("n" + one.place)) {
                one.leases.updateMembers(living);
            }
        }
    }

    /** Plays on; each process acts at each look if it may, whatever it is called for next. */
    void run(long micros) {
        for (long until = net.now() + micros; net.now() < until; ) {
            net.run(net.now() + lookMicros);
            look();
        }
    }

    private void look() {
        for (String lease : options.termMicrosByLease().keySet()) {
            boolean held = false;
            for (One one : all) {
                if (net.runs(one.place) && !one.stands) {
                    Leases.Permission permission = one.leases.checkHolding(one.clock(), lease, 0);
                    if (permission.mayAct()) {
                        acts.act(lease, "n" + one.place + "/" + one.life, net.now(), permission.token());
                        held = true;
                    }
                }
            }
            if (held) {
                Long since = withoutSince.remove(lease);
                if (since != null) {
                    gaps.add(net.now() - since);
                }
            } else {
                withoutSince.putIfAbsent(lease, net.now());
            }
        }
    }

    /** Whether each lease is held by one that runs. */
    boolean allHeld() {
        return options.termMicrosByLease().keySet().stream().allMatch(lease -> holder(lease) >= 0);
    }

    int holder(String lease) {
        for (One one : all) {
            if (net.runs(one.place)
                    && !one.stands
                    && one.leases.checkHolding(one.clock(), lease, 0).mayAct()) {
                return one.place;
            }
        }
        return -1;
    }
}
