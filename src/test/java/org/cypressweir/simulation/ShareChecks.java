package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.fleet.membership.ShareOptions;
import org.cypressweir.fleet.membership.ShareRequest;
import org.cypressweir.fleet.membership.ShareRequester;

/** Shares in small models of processes, some of them voters, with faults and uneven clocks. */
public final class ShareChecks {

    static final long HOLD = 1_000_000;
    /** For which what is in use stays so at a process that stands still, where it does. */
    private static final long LINGER = 3 * HOLD;

    private static final int MOST = 40;
    private static final long BEAT = 20_000;

    private static final class World {
        final SimulatedNetwork<MembershipMessage> net;
        final SplittableRandom random;
        final int voters;
        final long linger;
        final One[] all;
        double worst;

        World(long seed, int members, int voters, double drift, long linger) {
            this.linger = linger;
            net = new SimulatedNetwork<>(seed);
            random = new SplittableRandom(~seed);
            this.voters = voters;
            all = new One[members];
            for (int i = 0; i < members; i++) {
                net.place();
                // Each clock has an origin and a rate of its own.
                start(i, 1 + (random.nextInt(3) - 1) * drift);
            }
        }

        void start(int i, double rate) {
            all[i] = new One(this, i, rate, random.nextLong(1_000_000));
            net.start(i, BEAT, all[i]);
        }

        /** Plays on, and adds up what all that run may use, at each moment. */
        void run(long micros) {
            for (long until = net.now() + micros; net.now() < until; ) {
                net.run(net.now() + BEAT / 4);
                double sum = 0;
                for (One one : all) {
                    sum += net.runs(one.place) ? one.inUse() : 0;
                }
                worst = Math.max(worst, sum);
            }
        }

        double least() {
            double least = 1;
            for (One one : all) {
                least = net.runs(one.place) ? Math.min(least, one.part()) : least;
            }
            return least;
        }
    }

    private static final class One implements SimulatedNetwork.Process<MembershipMessage> {
        final World world;
        final int place;
        final double rate;
        final long origin;
        final Peer self;
        final ShareRequester requester;
        /** What it has open while it stands still, until its other ends close it; 0 for never. */
        double left;

        long leftUntil;

        One(World world, int place, double rate, long origin) {
            this.world = world;
            this.place = place;
            this.rate = rate;
            this.origin = origin;
            InetSocketAddress own = MembershipSimulation.address(place);
            self = new Peer("p" + place, world.random.nextLong(), 1, 1, own);
            ShareOptions options = new ShareOptions(
                    IntStream.range(0, world.voters)
                            .mapToObj(MembershipSimulation::address)
                            .toList(),
                    HOLD,
                    world.linger,
                    MOST);
            requester = new ShareRequester(
                    clock(),
                    options,
                    own,
                    world.random.nextLong(1L << 40),
                    (to, m) -> world.net.send(
                            place,
                            to.getPort() - MembershipSimulation.address(0).getPort(),
                            m));
        }

        long clock() {
            return origin + (long) (world.net.now() * rate);
        }

        double part() {
            return requester.part(clock());
        }

        void stand() {
            world.net.stop(place);
            if (leftUntil == 0) {
                left = part();
                leftUntil = world.net.now() + world.linger + 1;
            }
        }

        /** As the servers would count it. */
        double inUse() {
            return leftUntil == 0 ? part() : world.net.now() < leftUntil ? left : 0;
        }

        @Override
        public void tick(long now) {
            requester.tick(clock(), self);
        }

        @Override
        public void receive(long now, MembershipMessage m) {
            requester.receive(clock(), m, self);
        }
    }

    private ShareChecks() {}

    private static void hold(boolean holds, String what, long seed) {
        if (!holds) {
            throw new AssertionError(what + ", seed " + seed);
        }
    }

    /** How it is broken, or null. */
    public static String broken(long seed) {
        try {
            all(seed);
            return null;
        } catch (AssertionError e) {
            return e.toString();
        }
    }

    static void all(long seed) {
        nobodyTakesTooMuch(seed);
        whatIsLeftIsUsed(seed);
    }

    /** Faults at random, one after the other and at once; never more than the whole on all sides. */
    private static void nobodyTakesTooMuch(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 25; run++) {
            int members = 3 + random.nextInt(6);
            World w = new World(
                    seed * 100 + run, members, random.nextBoolean() ? 3 : 1, 0.04, random.nextBoolean() ? LINGER : 0);
            for (int step = 0; step < 14; step++) {
                fault(w, random, members);
                w.run(random.nextLong(4 * HOLD + w.linger));
                hold(w.worst <= 1 + 1e-9, "all use " + w.worst + " in run " + run + " step " + step, seed);
            }
        }
    }

    private static void fault(World w, SplittableRandom random, int members) {
        int one = random.nextInt(members);
        int other = random.nextInt(members);
        switch (random.nextInt(12)) {
            case 0 -> w.net.kill(one);
            case 1 -> w.all[one].stand();
            case 2 -> w.net.cut((from, to) -> from <= one == to <= one);
            case 3 -> w.net.cut((from, to) -> from != one || to == other);
            case 4 -> w.net.cut((from, to) -> to != one || from == other);
            case 5 -> w.net.weather(SimulatedNetwork.Weather.losing(0.3));
            case 7, 8 -> {
                // Each is cut off from one voter, and not all from the same one.
                int[] from = random.ints(members, 0, w.voters).toArray();
                w.net.cut((a, b) -> from[a] != b && from[b] != a);
            }
            case 9 -> {
                // A voter forgets, and somebody can't ask it again.
                int voter = random.nextInt(w.voters);
                w.start(voter, w.all[voter].rate);
                w.net.cut((a, b) -> a != one || b != voter);
            }
            case 6 -> w.net.weather(new SimulatedNetwork.Weather(0.1, 0.3, 0.5, 3 * HOLD, 200, 50_000));
            default -> {
                w.net.cut((from, to) -> true);
                w.net.weather(SimulatedNetwork.Weather.FAIR);
                for (int i = 0; i < members; i++) {
                    w.all[i].leftUntil = 0;
                    if (!w.net.runs(i)) {
                        w.start(i, w.all[i].rate);
                    } else {
                        w.net.go(i);
                    }
                }
            }
        }
    }

    /** With all in touch each has its equal part; after half has gone the rest has all, within the time. */
    private static void whatIsLeftIsUsed(long seed) {
        World w = new World(seed, 8, 3, 0, 0);
        w.run(3 * ShareRequest.releaseMicros(HOLD, 0));
        hold(
                Math.abs(w.least() - ShareRequest.CLAIMABLE_PART / 8) < 1e-9,
                "a part of " + w.least() + " of eight",
                seed);
        for (int i = 4; i < 8; i++) {
            w.net.kill(i);
        }
        w.run(ShareRequest.releaseMicros(HOLD, 0) + HOLD / 2);
        hold(Math.abs(w.least() - ShareRequest.CLAIMABLE_PART / 4) < 1e-9, "a part of " + w.least() + " of four", seed);
        w.net.kill(0);
        w.net.kill(1);
        w.run(HOLD + BEAT);
        hold(w.least() < 0.01, "without most voters a part of " + w.least(), seed);
        hold(w.worst <= 1 + 1e-9, "all together may use " + w.worst, seed);
    }
}
