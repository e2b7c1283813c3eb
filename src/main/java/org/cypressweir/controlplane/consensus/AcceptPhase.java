package org.cypressweir.controlplane.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.cypressweir.controlplane.configuration.Item;

/**
 * Phase 2: asks the voters before and after the change to accept the next state, until a majority of each set
 * has. A voter that holds the base gets the difference from it; any other voter gets the difference from a state
 * that it holds, or a full snapshot.
 */
final class AcceptPhase implements RoundPhase {

    /** A full snapshot is large: it is sent again only after this time, and each chunk extends the round. */
    private static final long SNAPSHOT_RESEND_MICROS = 300_000;

    private static final long SNAPSHOT_CHUNK_MICROS = 10_000;

    private final ReplicaContext context;
    private final ProposalRound round;
    private final PrepareQuorum promises;
    private final ReplicatedState base;
    private final ReplicatedState next;
    private final List<Item> changed;
    private final Set<String> acceptedBy = new HashSet<>();
    /** Voters that have reported a base mismatch, and those that have reported a second one. */
    private final Set<String> withOtherBase = new HashSet<>();

    private final Set<String> needingSnapshot = new HashSet<>();
    private final Map<String, Long> snapshotSentAt = new HashMap<>();
    private long sentAt;

    /** @param changed the items of the next state that differ from the base */
    AcceptPhase(
            ReplicaContext context,
            ProposalRound round,
            PrepareQuorum promises,
            ReplicatedState base,
            ReplicatedState next,
            List<Item> changed) {
        this.context = context;
        this.round = round;
        this.promises = promises;
        this.base = base;
        this.next = next;
        this.changed = changed;
    }

    /** Begins with this replica's own acceptance, which is durable. */
    void begin() {
        sentAt = context.now;
        context.history.recordStep(base.number(), next.number(), changed);
        acceptedBy.add(context.ownKey);
        sendToAll();
        commitIfAccepted();
    }

    /** The voters before and after the change. */
    private Set<String> allVoters() {
        Set<String> voters = new TreeSet<>(base.voters());
        voters.addAll(next.voters());
        return voters;
    }

    @Override
    public Optional<List<String>> requiredVoters() {
        return Optional.of(base.voters());
    }

    @Override
    public void onAccepted(String from) {
        if (acceptedBy.add(from)) {
            commitIfAccepted();
        }
    }

    @Override
    public void onBaseMismatch(String from) {
        if (allVoters().contains(from) && (withOtherBase.add(from) || needingSnapshot.add(from))) {
            send(from);
        }
    }

    @Override
    public void tick() {
        if (context.now - sentAt >= context.options.resendAfterMicros()) {
            sentAt = context.now;
            sendToAll();
        }
    }

    private void commitIfAccepted() {
        if (ReplicatedState.isMajority(base.voters(), acceptedBy)
                && ReplicatedState.isMajority(next.voters(), acceptedBy)) {
            round.commit(next);
        }
    }

    private void sendToAll() {
        for (String voter : allVoters()) {
            if (!acceptedBy.contains(voter)) {
                send(voter);
            }
        }
    }

    private void send(String to) {
        ChangeHistory.Difference difference = differenceFor(to);
        if (difference != null) {
            sendChunks(to, difference.from(), false, difference.items());
        } else if (snapshotDue(to)) {
            List<Item> items = next.configuration().items();
            snapshotSentAt.put(to, context.now);
            int chunks = SnapshotCache.chunkCount(items.size(), context.options.itemsPerChunk());
            round.extendDeadline(context.options.roundTimeoutMicros() + SNAPSHOT_CHUNK_MICROS * chunks);
            sendChunks(to, base.number(), true, items);
        }
    }

    /** The difference that brings a voter to the next state; null if it needs a full snapshot. */
    private ChangeHistory.Difference differenceFor(String to) {
        if (needingSnapshot.contains(to)) {
            return null;
        }
        if (withOtherBase.contains(to) || !promises.mayHave(to, base.number())) {
            return context.history.since(context.heldStates(to), next);
        }
        return new ChangeHistory.Difference(base.number(), changed);
    }

    private boolean snapshotDue(String to) {
        long last = snapshotSentAt.getOrDefault(to, -SNAPSHOT_RESEND_MICROS);
        return context.now - last >= SNAPSHOT_RESEND_MICROS;
    }

    private void sendChunks(String to, ProposalNumber from, boolean fullSnapshot, List<Item> items) {
        int chunkSize = context.options.itemsPerChunk();
        int chunkCount = SnapshotCache.chunkCount(items.size(), chunkSize);
        for (int chunk = 0; chunk < chunkCount; chunk++) {
            context.send(
                    to,
                    new ConsensusMessage.Accept(
                            to,
                            next.number(),
                            from,
                            fullSnapshot,
                            next.configuration().checksum(),
                            next.voters(),
                            chunk,
                            chunkCount,
                            SnapshotCache.chunk(items, chunk, chunkSize)));
        }
    }
}
