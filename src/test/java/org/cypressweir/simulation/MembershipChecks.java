package org.cypressweir.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.fleet.membership.Change;
import org.cypressweir.fleet.membership.MemberRecord;
import org.cypressweir.fleet.membership.MemberStatus;
import org.cypressweir.fleet.membership.MembershipMessage;
import org.cypressweir.fleet.membership.MembershipProtocol;
import org.cypressweir.fleet.membership.Peer;
import org.cypressweir.simulation.MembershipSimulation.Seen;
import org.cypressweir.simulation.MembershipSimulation.SimulatedMember;

/**
 * What membership promises, each played in made-up time. They use nothing of the test library, so they can
 * also judge a core that a fault was planted in.
 */
public final class MembershipChecks {

    static final long PAUSE = 3_000_000;

    /** A promise: it throws an AssertionError where it is broken. */
    interface Check {
        void run(long seed);
    }

    private MembershipChecks() {}

    static Map<String, Check> all() {
        Map<String, Check> all = new LinkedHashMap<>();
        all.put("killed", MembershipChecks::killedIsKnownWithinTheBound);
        all.put("many killed", MembershipChecks::survivorsFindEachOther);
        all.put("sleepers", MembershipChecks::sleepersAndLossPutNobodyOut);
        all.put("long pause", MembershipChecks::aLongPauseEndsOnce);
        all.put("one way", MembershipChecks::oneWayCutsHaveOneAnswer);
        all.put("one friend", MembershipChecks::oneThatFewCanReachDoesNotComeAndGo);
        all.put("split", MembershipChecks::splitsHealWithoutLoss);
        all.put("leaves", MembershipChecks::leavingIsKnownAtOnce);
        all.put("one name", MembershipChecks::theFirstOfTwoKeepsTheName);
        all.put("starts", MembershipChecks::allStartInWhateverWay);
        all.put("late words", MembershipChecks::wordsOfAnEarlierIncarnationAreVoid);
        all.put("facts", MembershipChecks::theNewestFactsHold);
        all.put("made-up names", MembershipChecks::madeUpNamesCostWhatIsStated);
        all.put("walk", MembershipChecks::aWalkEndsInOneView);
        return all;
    }

    /** How one of them is broken, or null. */
    public static String broken(String check, long seed) {
        try {
            all().get(check).run(seed);
            return null;
        } catch (AssertionError | RuntimeException e) {
            return e.toString();
        }
    }

    private static void hold(boolean holds, String what, MembershipSimulation f) {
        if (!holds) {
            List<Seen> last = f.changes.subList(Math.max(0, f.changes.size() - 8), f.changes.size());
            throw new AssertionError(what + " at " + f.net.now() + "; last changes " + last);
        }
    }

    private static MembershipSimulation together(long seed, int members) {
        MembershipSimulation f = new MembershipSimulation(seed, members, Math.min(3, members), PAUSE);
        f.startTogether();
        f.run(2_000_000);
        hold(f.changes.isEmpty(), "a quiet fleet changes", f);
        return f;
    }

    private static List<SimulatedMember> some(MembershipSimulation f, int... who) {
        return IntStream.of(who).mapToObj(f::get).toList();
    }

    private static List<SimulatedMember> range(MembershipSimulation f, int from, int to) {
        return f.all().subList(from, to);
    }

    /** Healed, everybody is in everybody's view soon, and nobody is doubted in the end. */
    private static void heals(MembershipSimulation f, String what) {
        f.net.cut((from, to) -> true);
        f.net.weather(SimulatedNetwork.Weather.FAIR);
        hold(f.await(3 * PAUSE, () -> f.agree(f.all(), f.all())) >= 0, what + " does not heal", f);
        f.run(8 * PAUSE);
        hold(f.agree(f.all(), f.all()), what + " does not stay healed", f);
        for (SimulatedMember x : f.all()) {
            for (Map.Entry<String, MembershipProtocol.MemberView> m :
                    x.core().members().entrySet()) {
                hold(
                        m.getValue().state().equals("alive"),
                        what + ": " + x.name + " still sees " + m.getKey() + " "
                                + m.getValue().state(),
                        f);
            }
        }
        f.changes.clear();
    }

    private static void stays(MembershipSimulation f, String what) {
        f.changes.clear();
        f.run(10 * PAUSE);
        hold(f.changes.isEmpty(), what + " goes on changing", f);
    }

    private static long outs(MembershipSimulation f) {
        return f.changes.stream()
                .filter(s -> s.change().kind() == Change.Kind.OUT)
                .count();
    }

    static void killedIsKnownWithinTheBound(long seed) {
        for (int members : new int[] {2, 5, 24}) {
            MembershipSimulation f = together(seed, members);
            f.net.kill(members - 1);
            List<SimulatedMember> rest = range(f, 0, members - 1);
            long took = f.await(f.plan().detectionMicros(), () -> f.agree(rest, rest));
            hold(took >= 0, "a killed one is not known", f);
            hold(took > f.plan().pauseMicros(), "known gone before a pause was over", f);
            hold(f.changes.size() == members - 1, "more than the killed one changed", f);
            f.start(members - 1);
            heals(f, "a restart");
        }
    }

    /** Some lose all their neighbours at once, and are neither put out nor alone. */
    static void survivorsFindEachOther(long seed) {
        for (int world = 0; world < 6; world++) {
            MembershipSimulation f = together(seed + world, 30);
            IntStream.range(0, 18).forEach(f.net::kill);
            List<SimulatedMember> rest = range(f, 18, 30);
            hold(f.await(f.plan().detectionMicros() + PAUSE, () -> f.agree(rest, rest)) >= 0, "the rest", f);
            hold(
                    f.changes.stream()
                            .allMatch(s -> Integer.parseInt(s.change().name().substring(1)) < 18),
                    "a survivor was put out",
                    f);
        }
    }

    static void sleepersAndLossPutNobodyOut(long seed) {
        MembershipSimulation f = together(seed, 24);
        SplittableRandom random = new SplittableRandom(seed);
        f.net.weather(SimulatedNetwork.Weather.losing(0.2));
        for (int second = 0; second < 120; second++) {
            int sleeper = random.nextInt(24);
            f.net.stop(sleeper);
            f.net.at(f.net.now() + 100_000 + random.nextLong(PAUSE - 150_000), () -> f.net.go(sleeper));
            f.run(1_000_000);
        }
        f.run(2 * PAUSE);
        hold(f.changes.isEmpty(), "a healthy one was put out", f);
    }

    static void aLongPauseEndsOnce(long seed) {
        for (int members : new int[] {2, 9}) {
            MembershipSimulation f = together(seed, members);
            f.net.stop(1);
            f.run(4 * PAUSE);
            List<SimulatedMember> rest =
                    f.all().stream().filter(x -> x.place != 1).toList();
            hold(f.agree(rest, rest), "a long pause is not known", f);
            f.net.go(1);
            hold(f.await(PAUSE, () -> f.agree(f.all(), f.all())) >= 0, "it does not come back", f);
            f.run(4 * PAUSE);
            hold(f.get(1).core().self().incarnation() == 2, "it came back more than once", f);
            hold(f.changes.stream().allMatch(s -> s.change().name().equals("n1")), "it accused others", f);
            hold(f.changes.size() == 2 * (members - 1), "it went and came more than once", f);
        }
    }

    static void oneWayCutsHaveOneAnswer(long seed) {
        MembershipSimulation f = together(seed, 12);
        List<SimulatedMember> rest = range(f, 1, 12);
        SimulatedNetwork.Partition deaf = (from, to) -> to != 0;
        SimulatedNetwork.Partition mute = (from, to) -> from != 0;
        for (SimulatedNetwork.Partition cut : List.of(deaf, mute)) {
            f.net.cut(cut);
            hold(
                    f.await(
                                    f.plan().detectionMicros() + PAUSE,
                                    () -> f.agree(rest, rest) && f.get(0).core().liveCount() == 1)
                            >= 0,
                    "cut one way, it is not out",
                    f);
            stays(f, "a cut of one way");
            heals(f, "a cut of one way");
        }
        f.net.cut((from, to) -> !(from == 3 && to == 4) && !(from == 4 && to == 9));
        f.run(4 * PAUSE);
        hold(f.changes.isEmpty(), "a pair that can't talk put somebody out", f);
        heals(f, "a pair");
        f.net.cut((from, to) -> from != 5 || to % 2 == 0);
        f.run(4 * PAUSE);
        boolean in = f.get(0).core().isInView("n5");
        hold(
                f.all().stream()
                        .filter(x -> x.place != 5)
                        .allMatch(x -> x.core().isInView("n5") == in),
                "one that half can hear is in for some only",
                f);
        stays(f, "one that half can hear");
        heals(f, "one that half can hear");
        f.net.cut((from, to) -> !(from < 5 && to >= 5));
        hold(
                f.await(
                                4 * PAUSE,
                                () -> f.agree(range(f, 0, 5), range(f, 0, 5))
                                        && f.agree(range(f, 5, 12), range(f, 5, 12)))
                        >= 0,
                "two groups cut one way",
                f);
        stays(f, "two groups cut one way");
        heals(f, "two groups cut one way");
    }

    static void oneThatFewCanReachDoesNotComeAndGo(long seed) {
        for (int friend : new int[] {7, 13, 22}) {
            MembershipSimulation f = together(seed + friend, 30);
            f.net.cut((from, to) -> from != 0 && to != 0 || from == friend || to == friend);
            f.run(4 * PAUSE);
            stays(f, "one that few can reach");
            heals(f, "one that few can reach");
        }
    }

    static void splitsHealWithoutLoss(long seed) {
        MembershipSimulation f = together(seed, 14);
        f.net.cut((from, to) -> part(from) == part(to));
        hold(
                f.await(
                                4 * PAUSE,
                                () -> f.agree(range(f, 0, 2), range(f, 0, 2))
                                        && f.agree(range(f, 2, 6), range(f, 2, 6))
                                        && f.agree(range(f, 6, 14), range(f, 6, 14)))
                        >= 0,
                "three parts",
                f);
        stays(f, "a split");
        f.net.cut((from, to) -> true);
        hold(f.await(3 * PAUSE, () -> f.agree(f.all(), f.all())) >= 0, "a split does not heal", f);
        hold(outs(f) == 0, "healing put somebody out", f);
        heals(f, "a split");
    }

    private static int part(int place) {
        return place < 2 ? 0 : place < 6 ? 1 : 2;
    }

    static void leavingIsKnownAtOnce(long seed) {
        MembershipSimulation f = together(seed, 9);
        f.get(3).core().leave(f.net.now());
        f.run(400_000);
        f.net.kill(3);
        List<SimulatedMember> rest = some(f, 0, 1, 2, 4, 5, 6, 7, 8);
        hold(f.agree(rest, rest), "leaving is not known", f);
        hold(
                f.changes.size() == 8
                        && f.changes.stream().allMatch(s -> s.change().kind() == Change.Kind.LEFT),
                "it was not taken for leaving",
                f);
        f.run(4 * PAUSE);
        hold(f.agree(rest, rest) && f.changes.size() == 8, "it was put out besides", f);
    }

    static void theFirstOfTwoKeepsTheName(long seed) {
        MembershipSimulation f = together(seed, 5);
        SimulatedMember second = f.add("n2");
        f.start(second.place);
        f.run(PAUSE);
        hold(second.refused() != null && second.refused().contains("'n2'"), "the second lives on", f);
        hold(f.agree(range(f, 0, 5), range(f, 0, 5)) && f.changes.isEmpty(), "the first did not", f);
        // While the first only sleeps the second waits, and is refused when it wakes.
        f.net.stop(2);
        f.start(second.place);
        f.run(PAUSE * 9 / 10);
        hold(second.refused() == null, "refused by one that sleeps", f);
        f.net.go(2);
        f.run(PAUSE);
        hold(second.refused() != null && f.changes.isEmpty(), "the sleeper lost its name", f);
        // The name of one that is gone is free, at another address too.
        f.net.kill(2);
        f.start(second.place);
        List<SimulatedMember> now = some(f, 0, 1, 3, 4, 5);
        hold(f.await(4 * PAUSE, () -> f.agree(now, now)) >= 0, "a name stays taken", f);
        hold(second.core().self().incarnation() > 1, "two processes at one incarnation", f);
    }

    static void allStartInWhateverWay(long seed) {
        MembershipSimulation f = new MembershipSimulation(seed, 12, 3, PAUSE);
        for (int i = 0; i < 12; i++) {
            int who = i;
            f.net.at(f.net.now() + 80_000L * i, () -> f.start(who));
        }
        hold(
                f.await(2 * PAUSE, () -> f.all().stream().allMatch(x -> x.core() != null) && f.agree(f.all(), f.all()))
                        >= 0,
                "a start within a second",
                f);
        heals(f, "a start");
        IntStream.range(0, 12).forEach(f.net::kill);
        f.run(2 * PAUSE);
        IntStream.range(0, 12).forEach(f::start);
        hold(f.await(2 * PAUSE, () -> f.agree(f.all(), f.all())) >= 0, "all killed and started", f);
        heals(f, "all killed and started");
        f.net.kill(0);
        f.net.kill(1);
        f.run(3 * PAUSE);
        f.net.kill(9);
        f.run(3 * PAUSE);
        f.start(9);
        List<SimulatedMember> up = range(f, 2, 12);
        hold(f.await(2 * PAUSE, () -> f.agree(up, up)) >= 0, "a join by the one seed that lives", f);
    }

    static void wordsOfAnEarlierIncarnationAreVoid(long seed) {
        MembershipSimulation f = together(seed, 6);
        Peer first = f.get(5).core().self();
        MemberRecord early = new MemberRecord(first, MemberStatus.MEMBER, 7, Map.of("front", "old"), 0);
        f.net.kill(5);
        f.run(3 * PAUSE);
        f.start(5);
        hold(f.await(2 * PAUSE, () -> f.agree(f.all(), f.all())) >= 0, "a restart", f);
        f.changes.clear();
        say(f, 0, first, early);
        f.run(3 * PAUSE);
        hold(f.changes.isEmpty() && f.agree(f.all(), f.all()), "an early word changed something", f);
        hold(!"old".equals(f.get(2).core().members().get("n5").record().facts().get("front")), "early facts hold", f);
        f.net.kill(5);
        f.run(2 * PAUSE);
        f.changes.clear();
        f.run(240_000_000);
        say(
                f,
                0,
                f.get(5).core().self(),
                new MemberRecord(f.get(5).core().self(), MemberStatus.MEMBER, 9, Map.of(), 0));
        f.run(3 * PAUSE);
        hold(f.changes.isEmpty(), "one that is gone came back by a word four minutes late", f);
    }

    private static void say(MembershipSimulation f, int to, Peer from, MemberRecord... entries) {
        f.get(to)
                .core()
                .receive(
                        f.net.now(),
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

    static void theNewestFactsHold(long seed) {
        MembershipSimulation f = together(seed, 9);
        f.net.weather(SimulatedNetwork.Weather.losing(0.2));
        for (int i = 0; i < 6; i++) {
            f.get(2).core().updateFacts(f.net.now(), Map.of("state", "step " + i));
            f.run(130_000);
        }
        f.run(2 * PAUSE);
        for (SimulatedMember x : f.all()) {
            String state = x.core().members().get("n2").record().facts().get("state");
            hold("step 5".equals(state), x.name + " knows '" + state + "'", f);
        }
    }

    static void madeUpNamesCostWhatIsStated(long seed) {
        MembershipSimulation f = together(seed, 5);
        long before = f.net.sent();
        List<MemberRecord> page = new ArrayList<>();
        Peer liar = f.get(1).core().self();
        for (int i = 0; i < 100_000; i++) {
            page.add(new MemberRecord(
                    new Peer("x" + i, i, 1, 1, new InetSocketAddress("127.0.0.1", 7)),
                    MemberStatus.OUT,
                    0,
                    Map.of(),
                    0));
            if (page.size() == 10) {
                say(f, 0, liar, page.toArray(new MemberRecord[0]));
                page.clear();
            }
        }
        hold(f.get(0).core().members().size() <= f.plan().maxMembers(), "more names than allowed", f);
        f.run(10_000_000);
        hold(f.agree(f.all(), f.all()), "made-up names moved the view", f);
        hold(f.net.sent() - before < 5 * 10 * 1_000, (f.net.sent() - before) + " datagrams", f);
    }

    /**
     * Faults at random among a few, one at a time or several; who was not touched by any is never put out by
     * others that were not either, and in the end all agree.
     */
    static void aWalkEndsInOneView(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int world = 0; world < 12; world++) {
            int members = 3 + random.nextInt(5);
            MembershipSimulation f = together(seed + world, members);
            for (int step = 0; step < 5; step++) {
                f.changes.clear();
                fault(f, members, random);
                f.net.cut((from, to) -> true);
                f.net.weather(SimulatedNetwork.Weather.FAIR);
                IntStream.range(0, members).forEach(i -> {
                    if (f.net.runs(i)) {
                        f.net.go(i);
                    } else {
                        f.start(i);
                    }
                });
                hold(
                        f.await(4 * PAUSE, () -> f.agree(f.all(), f.all())) >= 0,
                        "world " + world + " step " + step + " of seed " + seed + " does not come together",
                        f);
            }
        }
    }

    private static void fault(MembershipSimulation f, int members, SplittableRandom random) {
        int one = random.nextInt(members);
        int other = (one + 1 + random.nextInt(members - 1)) % members;
        long time = random.nextLong(4 * PAUSE);
        switch (random.nextInt(6)) {
            case 0 -> f.net.kill(one);
            case 1 -> f.net.stop(one);
            case 2 -> f.net.cut((from, to) -> from != one || to == other);
            case 3 -> f.net.cut((from, to) -> to != one || from == other);
            case 4 -> f.net.cut((from, to) -> from <= one == to <= one);
            default -> {
                f.net.kill(one);
                f.net.stop(other);
            }
        }
        if (random.nextBoolean()) {
            f.net.weather(SimulatedNetwork.Weather.losing(0.2));
        }
        f.run(time);
    }
}
