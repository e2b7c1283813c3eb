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

    private static final long TERM = LeaseWorld.TERM;
    /** Until grantors that have just started grant anything: they wait, and then learn that nobody knows tokens. */
    static final long STARTED = 5 * TERM / 2;

    private LeaseChecks() {}

    private static void hold(boolean holds, String what, long seed) {
        if (!holds) {
            throw new AssertionError(what + ", seed " + seed);
        }
    }

    /** How a check is broken by a seed, or null. */
    public static String broken(String check, long seed) {
        try {
            switch (check) {
                case "faults" -> faults(seed, LeaseWorld.DRIFT, false);
                case "wall clocks" -> faults(seed, LeaseWorld.DRIFT, true);
                case "progress" -> progress(seed);
                case "takeover" -> takeover(seed);
                case "handover" -> handover(seed);
                case "one way" -> oneWay(seed);
                case "quiet" -> quiet(seed);
                case "forgetful" -> forgetful(seed);
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
     * Faults one after the other and at once: never two holders, and tokens rise. Where clocks of the wall
     * are set to anything, most grantors go on living; all others' fates are as they come.
     */
    static void faults(long seed, double realDrift, boolean anyWallClock) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int run = 0; run < 8; run++) {
            int processes = 4 + random.nextInt(4);
            int grantors = random.nextBoolean() ? 3 : 5;
            LeaseWorld w = new LeaseWorld(
                    seed * 100 + run, processes, processes < 6 ? 3 : grantors, 2, realDrift, anyWallClock);
            w.run(STARTED);
            for (int step = 0; step < 16; step++) {
                fault(w, random, processes, anyWallClock);
                if (random.nextInt(3) > 0) {
                    w.members();
                }
                w.run(random.nextLong(2 * TERM));
                List<String> wrong = w.acts.wrong();
                hold(wrong.isEmpty(), "run " + run + " step " + step + ": " + wrong, seed);
            }
            hold(w.acts.count() > 0, "nobody ever acted in run " + run, seed);
        }
    }

    private static void fault(LeaseWorld w, SplittableRandom random, int processes, boolean quorumLives) {
        int one = random.nextInt(processes);
        int other = random.nextInt(processes);
        int grantors = w.options.grantors().size();
        switch (random.nextInt(14)) {
            case 0 -> w.net.kill(quorumLives && one < grantors ? 0 : one);
            case 1, 2 -> w.stand(one);
            case 3 -> w.net.cut((from, to) -> from <= one == to <= one);
            case 4 -> w.net.cut((from, to) -> from != one || to == other);
            case 5 -> w.net.cut((from, to) -> to != one || from == other);
            case 6 -> w.net.weather(SimulatedNetwork.Weather.losing(0.3));
            case 7 -> w.net.weather(new SimulatedNetwork.Weather(0.1, 0.3, 0.5, 2 * TERM, 200, 50_000));
            case 8 -> w.start(quorumLives ? 0 : random.nextInt(grantors));
            case 9 -> {
                for (int k = 0; k < (quorumLives ? 1 : grantors); k++) {
                    w.start(k);
                }
            }
            case 10 -> w.all[one].leases.leave(w.all[one].clock(), "told to");
            case 11 -> {
                // Each is cut off from one grantor, and not all from the same one.
                int[] from = random.ints(processes, 0, grantors).toArray();
                w.net.cut((a, b) -> from[a] != b && from[b] != a);
            }
            default -> {
                w.net.cut((from, to) -> true);
                w.net.weather(SimulatedNetwork.Weather.FAIR);
                for (int i = 0; i < processes; i++) {
                    if (w.all[i].stands) {
                        w.go(i);
                    } else if (!w.net.runs(i)) {
                        w.start(i);
                    }
                    w.all[i].leases.rejoin();
                }
            }
        }
    }

    /** Three that have never heard of each other ask at the same instant, again and again. */
    private static void progress(long seed) {
        LeaseWorld w = new LeaseWorld(seed, 6, 3, 1, 0, false);
        w.run(STARTED);
        for (int time = 0; time < 20; time++) {
            for (LeaseWorld.One one : w.all) {
                one.leases.leave(one.clock(), "again");
            }
            w.run(LeaseWorld.BEAT);
            for (LeaseWorld.One one : w.all) {
                one.leases.rejoin();
                one.leases.receive(one.clock(), MembershipSimulation.address(0), hint());
            }
            long begun = w.net.now();
            while (!w.allHeld()) {
                w.run(LeaseWorld.BEAT / 4);
                hold(w.net.now() - begun < 2 * TERM, "nobody holds after two terms", seed);
            }
        }
        hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
    }

    /** A holder that can only send, or only receive: another has it soon, as long as the cut lasts. */
    private static void oneWay(long seed) {
        for (boolean deaf : new boolean[] {true, false}) {
            LeaseWorld w = new LeaseWorld(seed, 5, 3, 1, LeaseWorld.DRIFT, false);
            w.members();
            w.run(STARTED + TERM);
            int cut = w.holder("task0");
            hold(cut >= 0, "somebody holds it", seed);
            w.net.cut((from, to) -> deaf ? to != cut : from != cut);
            long begun = w.net.now();
            while (w.holder("task0") < 0 || w.holder("task0") == cut) {
                w.run(LeaseWorld.BEAT);
                hold(w.net.now() - begun <= 2 * TERM + 1_000_000, "nobody else has it after two terms", seed);
            }
            w.gaps.clear();
            long sent = w.net.sent(cut);
            w.run(20 * TERM);
            // Whoever receives answers as a grantor, too.
            hold(!deaf || w.net.sent(cut) - sent <= 100, "a deaf one said " + (w.net.sent(cut) - sent), seed);
            hold(w.gaps.size() <= 5, "lost " + w.gaps.size() + " times while the cut lasts", seed);
            hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
        }
    }

    /** Without faults nothing moves, and with a fifth of all words lost hardly anything. */
    private static void quiet(long seed) {
        LeaseWorld w = new LeaseWorld(seed, 6, 3, 6, LeaseWorld.DRIFT, false);
        w.members();
        w.run(STARTED + 4 * TERM);
        w.changes.clear();
        w.run(20 * TERM);
        hold(w.changes.isEmpty(), "moved without a reason: " + w.changes, seed);
        w.net.weather(SimulatedNetwork.Weather.losing(0.2));
        w.run(20 * TERM);
        hold(w.changes.size() <= 24, "moved at loss: " + w.changes, seed);
    }

    /** A holder whose answers take a third of a term, and that is then cut off. */
    private static void lateAnswers(long seed) {
        LeaseWorld w = new LeaseWorld(seed, 6, 3, 1, LeaseWorld.DRIFT, false);
        w.members();
        w.run(STARTED + TERM);
        int holder = w.holder("task0");
        hold(holder >= 0, "somebody holds it", seed);
        w.net.weather(new SimulatedNetwork.Weather(0, 0, 0, 0, TERM / 6, TERM / 5));
        w.run(3 * TERM / 2);
        hold(w.holder("task0") == holder, "slow answers are enough to go on holding", seed);
        w.net.cut((from, to) -> from != holder && to != holder);
        w.net.weather(SimulatedNetwork.Weather.FAIR);
        w.run(3 * TERM);
        hold(w.holder("task0") >= 0 && w.holder("task0") != holder, "another has it", seed);
        hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
    }

    /** A grantor that has forgotten, beside one that never knew: no token that was used is granted again. */
    private static void forgetful(long seed) {
        LeaseWorld w = new LeaseWorld(seed, 6, 3, 1, LeaseWorld.DRIFT, true);
        w.run(STARTED);
        w.net.cut((from, to) -> from != 2 && to != 2);
        for (int i = 0; i < 3; i++) {
            w.all[i].leases.leave(w.all[i].clock(), "told to");
        }
        w.run(4 * TERM);
        hold(w.allHeld(), "two grantors grant", seed);
        // Tokens rise, and the third grantor hears of none of them.
        for (int i = 0; i < 90; i++) {
            LeaseWorld.One one = w.all[3 + i % 3];
            one.leases.leave(one.clock(), "told to");
            w.run(TERM);
            one.leases.rejoin();
        }
        for (int i : new int[] {3, 4, 5, 0}) {
            w.start(i);
        }
        w.net.cut((from, to) -> from != 1 && to != 1);
        w.run(12 * TERM);
        hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
        w.net.cut((from, to) -> true);
        w.run(4 * TERM);
        hold(w.allHeld() && w.acts.wrong().isEmpty(), "healed: " + w.acts.wrong(), seed);
    }

    /** Keepers are replaced while processes are cut off from each other: by way of both sets at once. */
    private static void replacedGrantors(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LeaseWorld w = new LeaseWorld(seed, 7, 3, 2, LeaseWorld.DRIFT, false);
        w.members();
        w.run(STARTED + TERM);
        LeaseOptions old = w.options;
        List<InetSocketAddress> next = List.of(
                MembershipSimulation.address(0), MembershipSimulation.address(3), MembershipSimulation.address(4));
        LeaseOptions both = new LeaseOptions(
                next,
                old.grantors(),
                old.maxTermMicros(),
                old.clockDrift(),
                old.trustsWallClock(),
                old.termMicrosByLease());
        LeaseOptions alone = new LeaseOptions(
                next, null, old.maxTermMicros(), old.clockDrift(), old.trustsWallClock(), old.termMicrosByLease());
        hold(w.all[5].leases.reconfigure(w.all[5].clock(), alone) != null, "majorities that need not meet", seed);
        for (LeaseOptions options : List.of(both, alone)) {
            for (int i : random.ints(0, 7).distinct().limit(7).toArray()) {
                int split = random.nextInt(7);
                w.net.cut((from, to) -> from < split == to < split);
                hold(w.all[i].leases.reconfigure(w.all[i].clock(), options) == null, "a step that is safe", seed);
                w.run(random.nextLong(3 * TERM));
                hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
            }
            w.net.cut((from, to) -> true);
            w.run(4 * TERM);
        }
        hold(w.allHeld(), "the new grantors grant", seed);
    }

    private static Map<String, Integer> holders(LeaseWorld w) {
        Map<String, Integer> holders = new TreeMap<>();
        w.options.termMicrosByLease().keySet().forEach(l -> holders.put(l, w.holder(l)));
        return holders;
    }

    private static LeaseMessage hint() {
        return new LeaseMessage(LeaseMessage.Kind.HINT, "task0", "", 0, 0, 0, 0, Map.of());
    }

    /** A holder is killed; another has it within a term and a second. */
    private static void takeover(long seed) {
        LeaseWorld w = new LeaseWorld(seed, 6, 3, 3, LeaseWorld.DRIFT, false);
        w.members();
        w.run(STARTED + TERM);
        hold(w.allHeld(), "all are held", seed);
        for (int time = 0; time < 3; time++) {
            int holder = w.holder("task0");
            hold(holder >= 0, "somebody holds it", seed);
            w.net.kill(holder);
            long begun = w.net.now();
            // Membership knows it later than the lease runs out.
            while (w.holder("task0") < 0) {
                w.run(LeaseWorld.BEAT);
                hold(w.net.now() - begun <= TERM + 1_000_000, "nobody has it after a term and a second", seed);
            }
            w.members();
            w.run(2 * TERM);
            w.start(holder);
            w.run(4 * TERM);
            w.members();
            w.run(4 * TERM);
        }
        hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
    }

    /** A holder that goes hands on at once; one that comes takes over no more than its part. */
    private static void handover(long seed) {
        int leases = 20;
        LeaseWorld w = new LeaseWorld(seed, 10, 3, leases, LeaseWorld.DRIFT, false);
        w.net.kill(9);
        w.members();
        w.run(STARTED + 6 * TERM);
        hold(w.allHeld(), "all are held", seed);
        int most = 0;
        for (int i = 0; i < 9; i++) {
            int place = i;
            most = Math.max(most, (int) w.options.termMicrosByLease().keySet().stream()
                    .filter(l -> w.holder(l) == place)
                    .count());
        }
        hold(most <= Math.ceil(1.25 * leases / 9), "one has " + most, seed);
        Map<String, Integer> before = holders(w);
        w.changes.clear();
        w.start(9);
        w.members();
        w.run(8 * TERM);
        hold(w.allHeld(), "all are held again", seed);
        Map<String, Integer> after = holders(w);
        long moved = after.keySet().stream()
                .filter(l -> !after.get(l).equals(before.get(l)))
                .count();
        // Its own part of two or three, and what the bound on the others' parts pushes on.
        hold(
                moved <= leases / 3 && w.changes.size() <= moved + 2,
                "one has come, and " + moved + " moved in " + w.changes.size() + " steps",
                seed);
        for (int i = 3; i < 10; i++) {
            LeaseWorld.One one = w.all[i];
            List<String> its = w.options.termMicrosByLease().keySet().stream()
                    .filter(l -> w.holder(l) == one.place)
                    .toList();
            one.leases.leave(one.clock(), "told to");
            long begun = w.net.now();
            while (!its.stream().allMatch(l -> w.holder(l) >= 0)) {
                w.run(LeaseWorld.BEAT / 4);
                hold(w.net.now() - begun < 400_000, "not handed on within 400 ms", seed);
            }
            one.leases.rejoin();
            w.run(TERM);
        }
        hold(w.acts.wrong().isEmpty(), w.acts.wrong().toString(), seed);
    }
}
