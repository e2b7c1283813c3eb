package org.cypressweir.modelcheck;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ConsensusOptions;
import org.cypressweir.controlplane.consensus.ConsensusReplica;
import org.cypressweir.controlplane.consensus.Effect;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.ProposalResult;
import org.cypressweir.testkit.ConsensusChecks;
import org.cypressweir.testkit.JsonCopy;

/**
 * The system that {@link ConsensusWalk} checks: three or four real {@link ConsensusReplica}s with simulated disks, a
 * simulated network and a simulated clock, in which two replicas are given different contents for the same version
 * of one item.
 *
 * <p>{@link #step} takes the default step: the oldest pending message or write is delivered, and the clock advances
 * only when nothing is pending. {@link #deviations} lists what may happen instead at this point, and {@link #apply}
 * makes one of these happen. There is no thread and no randomness beyond the fixed seeds of the replicas, so a
 * scenario and a list of deviations determine the whole execution. For one thread.
 *
 * <p>The faults are bounded: one power failure, and one loss of a disk or machine. A disk or machine may be lost
 * only while three voters are known to be committed and all of them run. So whatever is lost, a majority of the
 * voters keeps its disks, and a violation is a fault of the protocol.
 */
final class ConsensusModel {

    /** A message or a write that is under way to a replica. */
    private sealed interface PendingEvent {

        /** The replica that it comes to. */
        int replica();

        /** Equal for equal events; collisions are not expected. */
        long hash();
    }

    private record PendingMessage(int replica, String sender, Map<String, Object> message, long hash)
            implements PendingEvent {}

    private record PendingWrite(int replica, long incarnation, long number, long hash) implements PendingEvent {}

    private static final int VOTERS = 3;
    /** Three voters, one standby, and the replica that takes the place of a lost machine. */
    private static final int MAX_REPLICAS = 5;
    /** The position of the replica that takes the place of a lost machine. */
    private static final int SUCCESSOR = MAX_REPLICAS - 1;
    /** The replica that loses its disk or is replaced, in the scenarios where one is. */
    private static final int LOST = 2;
    /** The replica that replaces it at another address. */
    private static final int REPLACEMENT = 3;
    /** The replica that leaves in the scenario of a graceful shutdown. */
    private static final int LEAVING = 1;

    /** How many of the pending events may overtake the oldest. */
    private static final int MAX_REORDER_DISTANCE = 4;
    /** Delayed events become pending again whenever the number of ticks is a multiple of this. */
    private static final int DELAY_TICKS = 8;
    /** After this many ticks a standby is known to the voters. */
    private static final int TICKS_UNTIL_STANDBY_IS_KNOWN = 24;
    /** A scenario or a recovery that takes more default steps is a violation. */
    private static final int MAX_STEPS_TO_CONVERGE = 6_000;

    private static final long START_MICROS = 1_000_000;
    private static final long TICK_MICROS = 50_000;
    /** For this time a replica that announced its shutdown and restarted does not count as running. */
    private static final long SYNC_TIME_MICROS = 4_000_000;

    private static final long PROPOSAL_TIMEOUT_MICROS = 3_000_000;

    private static final long TICK_HASH = -1;
    private static final long FAULT_HASH = -2;

    private final ConsensusScenario scenario;
    private final ConsensusReplica[] replicas = new ConsensusReplica[MAX_REPLICAS];
    private final PersistentState[] disks = new PersistentState[MAX_REPLICAS];
    private final Effect.Write[] pendingWrites = new Effect.Write[MAX_REPLICAS];
    private final long[] incarnations = new long[MAX_REPLICAS];
    /** What is delivered next, in the order in which it was sent. */
    private final List<PendingEvent> pending = new ArrayList<>();
    /** What a deviation has delayed. */
    private final List<PendingEvent> delayed = new ArrayList<>();

    private final ConsensusChecks checks = new ConsensusChecks();
    private final Map<Long, ProposalResult> results = new HashMap<>();
    private long now = START_MICROS;
    private int ticks;
    /** For each replica, a hash of everything that has come to it, in order. */
    private final long[] historyHashes = new long[MAX_REPLICAS];

    private boolean hadPowerFailure;
    private boolean hadDiskLoss;
    /** Whether a replica has announced its shutdown and was not restarted since. */
    private boolean isLeaving;
    /** From when on a replica that announced its shutdown and was restarted counts as running. */
    private long leavingCountsFrom;
    /** The voters of the highest state that any replica has published. */
    private List<String> committedVoters = seeds();

    private ProposalNumber highestPublished = ProposalNumber.ZERO;

    ConsensusModel(ConsensusScenario scenario) {
        this.scenario = scenario;
        for (int i = 0; i < scenario.machines(); i++) {
            start(i, true);
        }
        deliverAll();
        switch (scenario) {
            case LEARNING, VOTER_REMOVED, VOTER_ADMITTED -> {
                disks[LOST] = null;
                start(LOST, false);
                stepUntil(() -> scenario == ConsensusScenario.LEARNING || committedVoters.size() < VOTERS);
                stepUntil(() -> scenario != ConsensusScenario.VOTER_ADMITTED || committedVoters.size() == VOTERS);
            }
            case REPLACED_VOTER_RETURNS -> {
                replicas[LOST] = null;
                pendingWrites[LOST] = null;
                stepUntil(() -> committedVoters.contains(replicas[REPLACEMENT].replicaKey()));
            }
            case STANDBY -> stepUntil(() -> ticks > TICKS_UNTIL_STANDBY_IS_KNOWN);
            case GRACEFUL_SHUTDOWN -> {
                stepUntil(() -> ticks > TICKS_UNTIL_STANDBY_IS_KNOWN);
                isLeaving = true;
                perform(LEAVING, replicas[LEAVING].leave(now));
            }
            default -> {}
        }
    }

    private static List<String> seeds() {
        return IntStream.range(0, VOTERS).mapToObj(ConsensusModel::address).toList();
    }

    private static String address(int replica) {
        return "h" + (replica + 1);
    }

    private static int replicaAt(String address) {
        return address.charAt(1) - '1';
    }

    private static long mix(long first, long second) {
        long mixed = (first ^ Long.rotateLeft(second, 31)) * 0x9E3779B97F4A7C15L;
        return mixed ^ mixed >>> 29;
    }

    private static long hash(String text) {
        long hash = text.length();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }

    /** Submits the two changes, which give one version different contents, to the proposers of the scenario. */
    void submitConflictingChanges() {
        submit(scenario.proposers().get(0), 1, "a");
        submit(scenario.proposers().get(1), 2, "b");
    }

    boolean areChangesAnswered() {
        return results.size() >= 2;
    }

    /** The checks of the replicas' answers and published states. */
    ConsensusChecks checks() {
        return checks;
    }

    /**
     * A hash of the state of the model at a step of the walk. A replica is a function of what came to it, so models
     * of one hash behave alike from here on, unless the hashes collide.
     */
    long stateHash(int step) {
        long hash = mix(step, now);
        for (long each : historyHashes) {
            hash = mix(hash, each);
        }
        for (PendingEvent event : pending) {
            hash = mix(hash, event.hash());
        }
        hash = mix(hash, delayed.size());
        for (PendingEvent event : delayed) {
            hash = mix(hash, event.hash());
        }
        return mix(hash, ticks);
    }

    /** The default step: delivers the oldest pending event, or lets the clock advance by one tick. */
    void step() {
        if (!pending.isEmpty()) {
            deliver(pending.remove(0));
            return;
        }
        now += TICK_MICROS;
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] != null) {
                recordHistory(i, TICK_HASH);
                perform(i, replicas[i].tick(now));
            }
        }
        if (++ticks % DELAY_TICKS == 0) {
            pending.addAll(delayed);
            delayed.clear();
        }
    }

    private void stepUntil(BooleanSupplier condition) {
        for (int i = 0; i < MAX_STEPS_TO_CONVERGE && !condition.getAsBoolean(); i++) {
            step();
        }
        if (!condition.getAsBoolean()) {
            throw new AssertionError("never converged in " + scenario);
        }
    }

    private void deliverAll() {
        while (!pending.isEmpty()) {
            step();
        }
    }

    /** What may happen now in place of the default step, always in the same order. */
    List<ConsensusDeviation> deviations() {
        List<ConsensusDeviation> deviations = new ArrayList<>();
        addReorderings(deviations);
        addFaultsOfOldestEvent(deviations);
        if (scenario == ConsensusScenario.REPLACED_VOTER_RETURNS && replicas[LOST] == null && disks[LOST] != null) {
            deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.OLD_DISK_RETURNS, LOST));
        }
        if (isLeaving && replicas[LEAVING] != null && replicas[LEAVING].handedOver()) {
            deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.HANDED_OVER_STOPS, LEAVING));
        }
        addFaultsOfReplicas(deviations);
        return deviations;
    }

    /** Events of different replicas are independent: only an event that overtakes one of its own replica matters. */
    private void addReorderings(List<ConsensusDeviation> deviations) {
        for (int i = 1; i <= MAX_REORDER_DISTANCE && i < pending.size(); i++) {
            int replica = pending.get(i).replica();
            if (pending.subList(0, i).stream().anyMatch(earlier -> earlier.replica() == replica)) {
                deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.REORDER, i));
            }
        }
    }

    private void addFaultsOfOldestEvent(List<ConsensusDeviation> deviations) {
        if (pending.isEmpty()) {
            return;
        }
        deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.DELAY, 0));
        if (pending.get(0) instanceof PendingMessage) {
            deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.LOSE, 0));
            deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.DUPLICATE, 0));
        }
    }

    private void addFaultsOfReplicas(List<ConsensusDeviation> deviations) {
        boolean mayLoseDisk = !hadDiskLoss && areAllVotersRunning();
        for (int i = 0; i < scenario.machines(); i++) {
            if (replicas[i] == null) {
                continue;
            }
            if (!hadPowerFailure) {
                deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.POWER_FAILURE, i));
                if (pendingWrites[i] != null) {
                    deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.POWER_FAILURE_AFTER_WRITE, i));
                }
            }
            if (mayLoseDisk) {
                deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.DISK_LOSS, i));
                deviations.add(new ConsensusDeviation(ConsensusDeviation.Kind.MACHINE_LOSS, i));
            }
        }
    }

    /** Makes one of {@link #deviations} happen. */
    void apply(ConsensusDeviation deviation) {
        switch (deviation.kind()) {
            case REORDER -> deliver(pending.remove(deviation.target()));
            case DELAY -> delayed.add(pending.remove(0));
            case LOSE -> pending.remove(0);
            case DUPLICATE -> {
                delayed.add(pending.get(0));
                deliver(pending.remove(0));
            }
            default -> fail(deviation.kind(), deviation.target());
        }
    }

    /** Stops a replica and starts what takes its place, if anything does. */
    private void fail(ConsensusDeviation.Kind kind, int replica) {
        recordHistory(replica, FAULT_HASH - kind.ordinal());
        if (isLeaving && replica == LEAVING) {
            isLeaving = false;
            leavingCountsFrom = now + SYNC_TIME_MICROS;
        }
        hadPowerFailure |= kind == ConsensusDeviation.Kind.POWER_FAILURE
                || kind == ConsensusDeviation.Kind.POWER_FAILURE_AFTER_WRITE;
        if (kind == ConsensusDeviation.Kind.POWER_FAILURE_AFTER_WRITE) {
            disks[replica] = pendingWrites[replica].update().appliedTo(disks[replica]);
        } else if (kind == ConsensusDeviation.Kind.DISK_LOSS || kind == ConsensusDeviation.Kind.MACHINE_LOSS) {
            hadDiskLoss = true;
            disks[replica] = null;
        }
        pendingWrites[replica] = null;
        if (scenario.proposers().contains(replica)) {
            long proposalId = 1L + scenario.proposers().indexOf(replica);
            results.putIfAbsent(proposalId, new ProposalResult.Unavailable("lost power"));
        }
        if (kind == ConsensusDeviation.Kind.MACHINE_LOSS) {
            replicas[replica] = null;
            start(SUCCESSOR, false);
        } else if (kind == ConsensusDeviation.Kind.HANDED_OVER_STOPS) {
            replicas[replica] = null;
            disks[replica] = null;
        } else {
            start(replica, false);
        }
    }

    private void start(int replica, boolean initial) {
        incarnations[replica]++;
        replicas[replica] = new ConsensusReplica(
                ConsensusOptions.defaults(),
                address(replica),
                seeds(),
                initial,
                disks[replica],
                incarnations[replica],
                new SplittableRandom(replica + 31 * incarnations[replica]),
                now);
        checks.started(address(replica));
        perform(replica, replicas[replica].start(now));
    }

    private void deliver(PendingEvent event) {
        int replica = event.replica();
        if (replicas[replica] == null) {
            return;
        }
        recordHistory(replica, event.hash());
        if (event instanceof PendingMessage message) {
            perform(replica, replicas[replica].received(now, message.sender, message.message));
        } else if (event instanceof PendingWrite write && write.incarnation == incarnations[replica]) {
            disks[replica] = pendingWrites[replica].update().appliedTo(disks[replica]);
            pendingWrites[replica] = null;
            perform(replica, replicas[replica].written(now, write.number, true));
        }
    }

    private void recordHistory(int replica, long eventHash) {
        historyHashes[replica] = mix(historyHashes[replica], mix(eventHash, now));
    }

    /** Carries out the effects that a replica returned. */
    private void perform(int replica, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Send send) {
                pending.add(message(replica, send));
            } else if (effect instanceof Effect.Write write) {
                pendingWrites[replica] = write;
                long hash = mix(mix(~replica, incarnations[replica]), write.number());
                pending.add(new PendingWrite(replica, incarnations[replica], write.number(), hash));
            } else if (effect instanceof Effect.Answer answer) {
                results.put(answer.proposalId(), answer.result());
                checks.answered(answer.proposalId(), answer.result());
            } else if (effect instanceof Effect.Publish show) {
                checks.published(address(replica), show);
                if (show.number().compareTo(highestPublished) > 0) {
                    highestPublished = show.number();
                    committedVoters = show.voters();
                }
            }
        }
    }

    private PendingMessage message(int sender, Effect.Send send) {
        int receiver = replicaAt(send.to());
        long hash = mix(receiver * 8L + sender, hash(send.message().toString()));
        return new PendingMessage(receiver, replicas[sender].replicaKey(), JsonCopy.map(send.message()), hash);
    }

    /** Submits a change that gives a tenant this API key, or a read for null. */
    private void submit(int replica, long proposalId, String apiKey) {
        ConfigurationChange change = apiKey == null
                ? null
                : ConfigurationChange.read(("{\"upsert\":{\"tenantTable\":{\"t\":{\"apiKeys\":[\"" + apiKey
                                        + "\"],\"configVersion\":\"r1\"}}}}")
                                .getBytes(StandardCharsets.UTF_8))
                        .get();
        checks.submitted(proposalId, change);
        perform(replica, replicas[replica].submit(now, proposalId, change, now + PROPOSAL_TIMEOUT_MICROS));
    }

    /** Whether three voters are known to be committed, and all of them run and are not leaving. */
    private boolean areAllVotersRunning() {
        Set<String> running = new HashSet<>();
        Arrays.stream(replicas).filter(Objects::nonNull).forEach(replica -> running.add(replica.replicaKey()));
        if (isLeaving || now < leavingCountsFrom) {
            running.remove(address(LEAVING));
        }
        return committedVoters.size() == VOTERS && running.containsAll(committedVoters);
    }

    /**
     * Continues without deviations and fails unless the replicas recover: there are three running voters, at least two
     * of them know that they are voters, and a read at each of these is answered. What the reads return is checked by
     * {@link #checks}.
     *
     * @throws AssertionError if they do not recover
     */
    void checkRecovery() {
        long recovered = now + PROPOSAL_TIMEOUT_MICROS + DELAY_TICKS * TICK_MICROS;
        while (now < recovered) {
            step();
        }
        stepUntil(this::areAllVotersRunning);
        now += TICK_MICROS;
        long proposalId = 2;
        for (int i = 0; i < replicas.length; i++) {
            if (replicas[i] != null && replicas[i].voters().contains(replicas[i].replicaKey())) {
                proposalId++;
                checkRead(i, proposalId);
            }
        }
        if (proposalId < 4) {
            throw new AssertionError("fewer than two replicas are voters by their own account");
        }
    }

    private void checkRead(int replica, long proposalId) {
        submit(replica, proposalId, null);
        for (int i = 0; i < MAX_STEPS_TO_CONVERGE && !results.containsKey(proposalId); i++) {
            step();
        }
        if (!(results.get(proposalId) instanceof ProposalResult.Read)) {
            throw new AssertionError("all faults are over, but a read is not answered: " + results);
        }
    }

    @Override
    public String toString() {
        return Arrays.stream(replicas)
                .filter(Objects::nonNull)
                .map(replica ->
                        replica.replicaKey() + " has " + replica.committed().number() + " voters " + replica.voters())
                .toList()
                .toString();
    }
}
