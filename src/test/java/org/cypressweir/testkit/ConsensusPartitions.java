package org.cypressweir.testkit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.SimulatedReplicas.Replica;

/**
 * Eight operators with an order each at a time, at three replicas, before, in and after cuts, in made-up
 * time: how long each order takes until it is acknowledged, with all its tries, and how many rounds begin.
 */
public final class ConsensusPartitions {

    /** Who is cut off, and what else happens. */
    public enum Kind {
        BOTH_WAYS,
        HEARS_NOBODY,
        NOBODY_HEARS_IT,
        /** The replica that acknowledged an order last. */
        ACTED_LAST,
        /** Two cuts of the same replica, three seconds apart. */
        TWICE,
        /** As one comes back, another goes for five seconds. */
        LOSS_AT_THE_JOIN
    }

    /** When an order was sent first. */
    public enum Phase {
        BEFORE,
        IN,
        AFTER
    }

    /** What was measured of a phase. */
    public static final class Figures {
        private final List<Long> micros = new ArrayList<>();
        private int rounds;

        void add(Figures other) {
            micros.addAll(other.micros);
            rounds += other.rounds;
        }

        private long at(double part) {
            List<Long> sorted = new ArrayList<>(micros);
            Collections.sort(sorted);
            int place = (int) Math.min(sorted.size() - 1L, sorted.size() * part);
            return sorted.isEmpty() ? 0 : sorted.get(place);
        }

        public long worst() {
            return at(1);
        }

        public int orders() {
            return micros.size();
        }

        public double roundsAnOrder() {
            return micros.isEmpty() ? 0 : (double) rounds / micros.size();
        }

        @Override
        public String toString() {
            return String.format(
                    "%d orders, median %d ms, 99%% %d ms, worst %d ms, %.2f rounds an order",
                    micros.size(), at(0.5) / 1_000, at(0.99) / 1_000, worst() / 1_000, roundsAnOrder());
        }
    }

    private static final int OPERATORS = 8;
    private static final long STEP = 1_000;
    private static final long PATIENCE = 850_000;
    private static final long SILENCE = 1_000_000;
    private static final long CALM = 3_000_000;
    private static final long DOWN = 5_000_000;
    private static final long DRAIN = 15_000_000;
    private static final long PAUSE = 50_000;
    private static final long MOST_PAUSE = 800_000;

    /** Sends one order after the other, each until it is acknowledged. */
    private final class Operator {
        private final String tenant;
        private long version;
        private long begun = -1;
        private Phase its;
        private int at;
        private long proposalId;
        private long triedAt;
        private long pause;
        private long again;

        private Operator(String tenant) {
            this.tenant = tenant;
        }

        private void step() {
            long now = world.now();
            if (begun < 0) {
                if (now < again || over) {
                    return;
                }
                begun = now;
                its = phase;
                version++;
                pause = PAUSE;
                at = 1 + random.nextInt(3);
                send();
                return;
            }
            ProposalResult result = proposalId < 0
                    ? new ProposalResult.Unavailable("nobody is there")
                    : proposalId == 0 ? null : world.result(proposalId);
            if (result instanceof ProposalResult.Taken) {
                figures.get(its).micros.add(now - begun);
                last = at;
                begun = -1;
                again = now + random.nextLong(200_000);
            } else if (proposalId != 0 && (result != null || now - triedAt > SILENCE)) {
                proposalId = 0;
                again = now + pause / 2 + random.nextLong(pause);
                pause = Math.min(MOST_PAUSE, pause * 2);
                at = 1 + at % 3;
            } else if (proposalId == 0 && now >= again) {
                send();
            }
        }

        private void send() {
            triedAt = world.now();
            proposalId = world.submit(
                    world.replica(at),
                    "{\"upsert\":{\"tenantTable\":{\"" + tenant
                            + "\":{\"apiKeys\":[\"" + tenant + "-" + version + "\"],\"configVersion\":\"r" + version
                            + "\"}}}}",
                    PATIENCE);
        }
    }

    private final SplittableRandom random;
    private final SimulatedReplicas world;
    private final Kind kind;
    private final long cut;
    private final Map<Phase, Figures> figures = new EnumMap<>(Phase.class);
    private final List<Operator> operators = new ArrayList<>();
    private Phase phase = Phase.BEFORE;
    private boolean over;
    private int last = 1;
    private int rounds;

    private ConsensusPartitions(long seed, Kind kind, long cut, long mostDelay) {
        random = new SplittableRandom(seed);
        world = new SimulatedReplicas(seed, 3);
        world.mostDelay = mostDelay;
        this.kind = kind;
        this.cut = cut;
        for (Phase each : Phase.values()) {
            figures.put(each, new Figures());
        }
        for (int i = 0; i < OPERATORS; i++) {
            operators.add(new Operator("t" + i));
        }
    }

    /** The figures of so many days of a kind; an AssertionError for a breach. */
    public static Map<Phase, Figures> measure(Kind kind, long cut, long mostDelay, int days) {
        Map<Phase, Figures> all = new EnumMap<>(Phase.class);
        for (int seed = 0; seed < days; seed++) {
            ConsensusPartitions day = new ConsensusPartitions(seed * 31L + kind.ordinal(), kind, cut, mostDelay);
            day.run();
            day.figures.forEach(
                    (p, its) -> all.computeIfAbsent(p, k -> new Figures()).add(its));
        }
        return all;
    }

    private void run() {
        world.run(1_000_000);
        operate(CALM);
        int off = kind == Kind.ACTED_LAST ? last : 1 + random.nextInt(3);
        cutOff(off);
        if (kind == Kind.TWICE) {
            join();
            operate(CALM);
            cutOff(off);
        }
        join();
        if (kind == Kind.LOSS_AT_THE_JOIN) {
            Replica gone = world.replica(1 + off % 3);
            world.crash(gone);
            operate(DOWN);
            world.start(gone.address(), false);
        }
        operate(CALM);
        over = true;
        operate(DRAIN);
        if (world.checks().breach() != null || operators.stream().anyMatch(o -> o.begun >= 0)) {
            throw new AssertionError(kind + ": " + world.checks().breach() + ", or an order is open still");
        }
    }

    private void cutOff(int off) {
        next(Phase.IN);
        for (int other = 1; other <= 3; other++) {
            String one = world.replica(other).address();
            String its = world.replica(off).address();
            if (other != off && kind != Kind.NOBODY_HEARS_IT) {
                world.cut(one, its);
            }
            if (other != off && kind != Kind.HEARS_NOBODY) {
                world.cut(its, one);
            }
        }
        operate(cut);
    }

    private void join() {
        next(Phase.AFTER);
        world.heal();
    }

    private void next(Phase its) {
        figures.get(phase).rounds += world.rounds() - rounds;
        rounds = world.rounds();
        phase = its;
    }

    private void operate(long micros) {
        for (long until = world.now() + micros; world.now() < until; ) {
            operators.forEach(Operator::step);
            world.run(STEP);
        }
        next(phase);
    }
}
