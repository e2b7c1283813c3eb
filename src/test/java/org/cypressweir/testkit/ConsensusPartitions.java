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
 * Eight operators submit one change at a time each to three replicas in simulated time, before, during and after a
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

    /** When a change was first submitted, relative to the partition. */
    public enum Phase {
        BEFORE,
        IN,
        AFTER
    }

    /** The measurements of one phase. */
    public static final class Figures {
        private final List<Long> micros = new ArrayList<>();
        private int rounds;

        void add(Figures other) {
            micros.addAll(other.micros);
            rounds += other.rounds;
        }

        private long percentile(double part) {
            List<Long> sorted = new ArrayList<>(micros);
            Collections.sort(sorted);
            int place = (int) Math.min(sorted.size() - 1L, sorted.size() * part);
            return sorted.isEmpty() ? 0 : sorted.get(place);
        }

        public long worst() {
            return percentile(1);
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
                    micros.size(),
                    percentile(0.5) / 1_000,
                    percentile(0.99) / 1_000,
                    worst() / 1_000,
                    roundsPerChange());
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

    /** Submits one change at a time, and repeats each until it is acknowledged. */
    private final class Operator {
        private final String tenant;
        private long version;
        private long startedAt = -1;
        private Phase operationPhase;
        private int replicaNumber;
        private long proposalId;
        private long attemptedAt;
        private long backoff;
        private long nextAttemptAt;

        private Operator(String tenant) {
            this.tenant = tenant;
        }

        private void step() {
            long now = simulation.now();
            if (startedAt < 0) {
                if (now < nextAttemptAt || draining) {
                    return;
                }
                startedAt = now;
                operationPhase = phase;
                version++;
                backoff = MIN_BACKOFF_MICROS;
                replicaNumber = 1 + random.nextInt(3);
                send();
                return;
            }
            ProposalResult result = proposalId < 0
                    ? new ProposalResult.Unavailable("the replica is down")
                    : proposalId == 0 ? null : simulation.result(proposalId);
            if (result instanceof ProposalResult.Committed) {
                figures.get(operationPhase).micros.add(now - startedAt);
                lastAcknowledging = replicaNumber;
                startedAt = -1;
                nextAttemptAt = now + random.nextLong(200_000);
            } else if (proposalId != 0 && (result != null || now - attemptedAt > RETRY_AFTER_MICROS)) {
                proposalId = 0;
                nextAttemptAt = now + backoff / 2 + random.nextLong(backoff);
                backoff = Math.min(MAX_BACKOFF_MICROS, backoff * 2);
                replicaNumber = 1 + replicaNumber % 3;
            } else if (proposalId == 0 && now >= nextAttemptAt) {
                send();
            }
        }

        private void send() {
            attemptedAt = simulation.now();
            proposalId = simulation.submit(
                    simulation.replica(replicaNumber),
                    "{\"upsert\":{\"tenantTable\":{\"" + tenant
                            + "\":{\"apiKeys\":[\"" + tenant + "-" + version + "\"],\"configVersion\":\"r" + version
                            + "\"}}}}",
                    TIMEOUT_MICROS);
        }
    }

    private final SplittableRandom random;
    private final SimulatedReplicas simulation;
    private final Kind kind;
    private final long partitionMicros;
    private final Map<Phase, Figures> figures = new EnumMap<>(Phase.class);
    private final List<Operator> operators = new ArrayList<>();
    private Phase phase = Phase.BEFORE;
    private boolean draining;
    private int lastAcknowledging = 1;
    private int rounds;

    private ConsensusPartitions(long seed, Kind kind, long partitionMicros, long maxDelayMicros) {
        random = new SplittableRandom(seed);
        simulation = new SimulatedReplicas(seed, 3);
        simulation.maxDelayMicros = maxDelayMicros;
        this.kind = kind;
        this.partitionMicros = partitionMicros;
        for (Phase each : Phase.values()) {
            figures.put(each, new Figures());
        }
        for (int i = 0; i < OPERATORS; i++) {
            operators.add(new Operator("t" + i));
        }
    }

    /**
     * Runs scenarios of a kind and returns their figures.
     *
     * @throws AssertionError if a scenario violates a guarantee
     */
    public static Map<Phase, Figures> measure(Kind kind, long partitionMicros, long maxDelayMicros, int scenarios) {
        Map<Phase, Figures> all = new EnumMap<>(Phase.class);
        for (int seed = 0; seed < scenarios; seed++) {
            ConsensusPartitions scenario =
                    new ConsensusPartitions(seed * 31L + kind.ordinal(), kind, partitionMicros, maxDelayMicros);
            scenario.run();
            scenario.figures.forEach((each, measured) ->
                    all.computeIfAbsent(each, k -> new Figures()).add(measured));
        }
        return all;
    }

    private void run() {
        simulation.run(1_000_000);
        operate(CALM_MICROS);
        int isolated = kind == Kind.LAST_ACKNOWLEDGING ? lastAcknowledging : 1 + random.nextInt(3);
        isolate(isolated);
        if (kind == Kind.TWICE) {
            heal();
            operate(CALM_MICROS);
            isolate(isolated);
        }
        heal();
        if (kind == Kind.CRASH_AS_IT_HEALS) {
            Replica gone = simulation.replica(1 + isolated % 3);
            simulation.crash(gone);
            operate(DOWN_MICROS);
            simulation.start(gone.address(), false);
        }
        operate(CALM_MICROS);
        draining = true;
        operate(DRAIN_MICROS);
        if (simulation.checks().violation() != null || operators.stream().anyMatch(o -> o.startedAt >= 0)) {
            throw new AssertionError(
                    kind + ": " + simulation.checks().violation() + ", or a change was not acknowledged");
        }
    }

    private void isolate(int isolated) {
        enter(Phase.IN);
        for (int other = 1; other <= 3; other++) {
            String otherAddress = simulation.replica(other).address();
            String isolatedAddress = simulation.replica(isolated).address();
            if (other != isolated && kind != Kind.NOBODY_HEARS_IT) {
                simulation.block(otherAddress, isolatedAddress);
            }
            if (other != isolated && kind != Kind.HEARS_NOBODY) {
                simulation.block(isolatedAddress, otherAddress);
            }
        }
        operate(partitionMicros);
    }

    private void heal() {
        enter(Phase.AFTER);
        simulation.heal();
    }

    private void enter(Phase next) {
        figures.get(phase).rounds += simulation.rounds() - rounds;
        rounds = simulation.rounds();
        phase = next;
    }

    private void operate(long micros) {
        for (long until = simulation.now() + micros; simulation.now() < until; ) {
            operators.forEach(Operator::step);
            simulation.run(STEP_MICROS);
        }
        enter(phase);
    }
}
