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
 * Eight operators, each with one change at a time, at three replicas in simulated time, before, during and after a
 * network partition. Measures how long each change takes until it is acknowledged, retries included, and how many
 * proposal rounds begin.
 */
public final class ConsensusPartitions {

    /** Which replica is partitioned from the others, in which direction, and what else happens. */
    public enum Kind {
        BOTH_WAYS,
        HEARS_NOBODY,
        NOBODY_HEARS_IT,
        /** The replica that acknowledged a change last, in both directions. */
        LAST_ACKNOWLEDGING,
        /** Two partitions of the same replica, three seconds apart. */
        TWICE,
        /** As the partition heals, another replica is down for five seconds. */
        CRASH_AS_IT_HEALS
    }

    /** When a change was submitted first. */
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

        public int changes() {
            return micros.size();
        }

        public double roundsPerChange() {
            return micros.isEmpty() ? 0 : (double) rounds / micros.size();
        }

        @Override
        public String toString() {
            return String.format(
                    "%d changes, median %d ms, 99%% %d ms, worst %d ms, %.2f rounds a change",
                    micros.size(), at(0.5) / 1_000, at(0.99) / 1_000, worst() / 1_000, roundsPerChange());
        }
    }

    private static final int OPERATORS = 8;
    private static final long STEP_MICROS = 1_000;
    private static final long TIMEOUT_MICROS = 850_000;
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    private static final long CALM_MICROS = 3_000_000;
    private static final long DOWN_MICROS = 5_000_000;
    private static final long DRAIN_MICROS = 15_000_000;
    private static final long MIN_BACKOFF_MICROS = 50_000;
    private static final long MAX_BACKOFF_MICROS = 800_000;

    /** Submits one change after the other, each until it is acknowledged. */
    private final class Operator {
        private final String tenant;
        private long version;
        private long begun = -1;
        private Phase operationPhase;
        private int at;
        private long proposalId;
        private long triedAt;
        private long backoff;
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
                operationPhase = phase;
                version++;
                backoff = MIN_BACKOFF_MICROS;
                at = 1 + random.nextInt(3);
                send();
                return;
            }
            ProposalResult result = proposalId < 0
                    ? new ProposalResult.Unavailable("nobody is there")
                    : proposalId == 0 ? null : world.result(proposalId);
            if (result instanceof ProposalResult.Taken) {
                figures.get(operationPhase).micros.add(now - begun);
                last = at;
                begun = -1;
                again = now + random.nextLong(200_000);
            } else if (proposalId != 0 && (result != null || now - triedAt > RETRY_AFTER_MICROS)) {
                proposalId = 0;
                again = now + backoff / 2 + random.nextLong(backoff);
                backoff = Math.min(MAX_BACKOFF_MICROS, backoff * 2);
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
                    TIMEOUT_MICROS);
        }
    }

    private final SplittableRandom random;
    private final SimulatedReplicas world;
    private final Kind kind;
    private final long partitionMicros;
    private final Map<Phase, Figures> figures = new EnumMap<>(Phase.class);
    private final List<Operator> operators = new ArrayList<>();
    private Phase phase = Phase.BEFORE;
    private boolean over;
    private int last = 1;
    private int rounds;

    private ConsensusPartitions(long seed, Kind kind, long partitionMicros, long mostDelay) {
        random = new SplittableRandom(seed);
        world = new SimulatedReplicas(seed, 3);
        world.maxDelayMicros = mostDelay;
        this.kind = kind;
        this.partitionMicros = partitionMicros;
        for (Phase each : Phase.values()) {
            figures.put(each, new Figures());
        }
        for (int i = 0; i < OPERATORS; i++) {
            operators.add(new Operator("t" + i));
        }
    }

    /** The figures of so many scenarios of a kind; an AssertionError for a violation. */
    public static Map<Phase, Figures> measure(Kind kind, long partitionMicros, long mostDelay, int scenarios) {
        Map<Phase, Figures> all = new EnumMap<>(Phase.class);
        for (int seed = 0; seed < scenarios; seed++) {
            ConsensusPartitions scenario =
                    new ConsensusPartitions(seed * 31L + kind.ordinal(), kind, partitionMicros, mostDelay);
            scenario.run();
            scenario.figures.forEach((each, measured) ->
                    all.computeIfAbsent(each, k -> new Figures()).add(measured));
        }
        return all;
    }

    private void run() {
        world.run(1_000_000);
        operate(CALM_MICROS);
        int isolated = kind == Kind.LAST_ACKNOWLEDGING ? last : 1 + random.nextInt(3);
        isolate(isolated);
        if (kind == Kind.TWICE) {
            heal();
            operate(CALM_MICROS);
            isolate(isolated);
        }
        heal();
        if (kind == Kind.CRASH_AS_IT_HEALS) {
            Replica gone = world.replica(1 + isolated % 3);
            world.crash(gone);
            operate(DOWN_MICROS);
            world.start(gone.address(), false);
        }
        operate(CALM_MICROS);
        over = true;
        operate(DRAIN_MICROS);
        if (world.checks().breach() != null || operators.stream().anyMatch(o -> o.begun >= 0)) {
            throw new AssertionError(kind + ": " + world.checks().breach() + ", or a change is not acknowledged");
        }
    }

    private void isolate(int isolated) {
        enter(Phase.IN);
        for (int other = 1; other <= 3; other++) {
            String otherAddress = world.replica(other).address();
            String isolatedAddress = world.replica(isolated).address();
            if (other != isolated && kind != Kind.NOBODY_HEARS_IT) {
                world.block(otherAddress, isolatedAddress);
            }
            if (other != isolated && kind != Kind.HEARS_NOBODY) {
                world.block(isolatedAddress, otherAddress);
            }
        }
        operate(partitionMicros);
    }

    private void heal() {
        enter(Phase.AFTER);
        world.heal();
    }

    private void enter(Phase next) {
        figures.get(phase).rounds += world.rounds() - rounds;
        rounds = world.rounds();
        phase = next;
    }

    private void operate(long micros) {
        for (long until = world.now() + micros; world.now() < until; ) {
            operators.forEach(Operator::step);
            world.run(STEP_MICROS);
        }
        enter(phase);
    }
}
