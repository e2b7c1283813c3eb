package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Tracks when this replica was last known to be in contact with a majority of the voters. Its heartbeats are
 * numbered, and each peer echoes the last number that it has heard. An echo proves contact at the time at which
 * the heartbeat was sent, on this replica's own clock: a message that a partition has delayed proves no later
 * contact, and no two clocks are compared.
 *
 * <p>The committed state is confirmed as the newest at a given time if a majority of its voters, in answer to
 * heartbeats sent at that time or later, reports no accepted state above it: one of them would have accepted any
 * higher state that was committed before that time.
 *
 * <p>Proposals that are submitted while contact is lost wait here, for as long as an answer to a probe may take.
 */
final class QuorumContact {

    static final long NEVER = Long.MIN_VALUE;

    /** Only echoes of this many of the last heartbeats are accepted. */
    private static final int REMEMBERED_HEARTBEATS = 64;

    /** An echo: when the echoed heartbeat was sent, and the peer's incarnation and accepted state. */
    private record Proof(long at, long incarnation, ProposalNumber accepted) {}

    /** The last heartbeat from an address: what is echoed to it. */
    private record HeardHeartbeat(long incarnation, long sequence) {}

    private record PendingProposal(Proposal proposal, long until) {}

    private final ReplicaContext context;
    private final long startedAt;
    /** When the last heartbeats were sent, by sequence number. */
    private final long[] sentAt = new long[REMEMBERED_HEARTBEATS];

    private final Map<String, Proof> proofs = new HashMap<>();
    private final Map<String, HeardHeartbeat> heardHeartbeats = new HashMap<>();
    private final Deque<PendingProposal> pending = new ArrayDeque<>();
    private long sequence;
    private long confirmedAt = NEVER;
    private long probedAt = NEVER;

    QuorumContact(ReplicaContext context) {
        this.context = context;
        startedAt = context.now;
    }

    /** The sequence number of a heartbeat that is sent now. */
    long nextSequence() {
        sequence++;
        sentAt[(int) (sequence % REMEMBERED_HEARTBEATS)] = context.now;
        return sequence;
    }

    /** The sequence number echoed to an address; 0 where nothing was heard. */
    long echoedSequence(String address) {
        HeardHeartbeat heard = heardHeartbeats.get(address);
        return heard == null ? 0 : heard.sequence;
    }

    /** The incarnation that the echo to an address is for; 0 where nothing was heard. */
    long echoedIncarnation(String address) {
        HeardHeartbeat heard = heardHeartbeats.get(address);
        return heard == null ? 0 : heard.incarnation;
    }

    void onHeartbeat(String from, ConsensusMessage.Heartbeat heartbeat) {
        rememberForEcho(ReplicaKey.address(from), heartbeat);
        Proof before = proofs.get(from);
        if (heartbeat.blank() || before != null && before.incarnation != heartbeat.incarnation()) {
            proofs.remove(from);
            before = null;
        }
        long echo = heartbeat.echoedSequence();
        if (!heartbeat.blank() && heartbeat.echoedIncarnation() == context.incarnation && isRemembered(echo)) {
            long at = sentAt[(int) (echo % REMEMBERED_HEARTBEATS)];
            if (before == null || at >= before.at) {
                proofs.put(from, new Proof(at, heartbeat.incarnation(), heartbeat.accepted()));
            }
        }
    }

    private void rememberForEcho(String address, ConsensusMessage.Heartbeat heartbeat) {
        HeardHeartbeat before = heardHeartbeats.get(address);
        if (before == null || before.incarnation != heartbeat.incarnation() || before.sequence < heartbeat.sequence()) {
            heardHeartbeats.put(address, new HeardHeartbeat(heartbeat.incarnation(), heartbeat.sequence()));
        }
    }

    private boolean isRemembered(long echo) {
        return echo > sequence - REMEMBERED_HEARTBEATS && echo > 0 && echo <= sequence;
    }

    /** The latest time at which a majority is known to have been in contact with this replica. */
    long contactAt(List<String> voters) {
        return timeOfMajority(voters, true, proof -> proof.at);
    }

    /** Whether contact with a majority was lost too long ago to expect that a proposal can be committed. */
    boolean isLost(List<String> voters) {
        long lastContact = Math.max(startedAt, contactAt(voters));
        return context.now - lastContact > context.options.quorumContactTimeoutMicros();
    }

    /** Updates the time at which the committed state is known to have been the newest. */
    void confirm(ReplicatedState committed, ProposalNumber accepted, List<String> voters) {
        boolean ownCounts = !accepted.above(committed.number());
        ToLongFunction<Proof> asOf = proof -> proof.accepted.above(committed.number()) ? NEVER : proof.at;
        List<String> votersOfState = committed.voters().isEmpty() ? voters : committed.voters();
        long asOfMajorities =
                Math.min(timeOfMajority(votersOfState, ownCounts, asOf), timeOfMajority(voters, ownCounts, asOf));
        confirmedAt = Math.max(confirmedAt, asOfMajorities);
    }

    /** The latest time at which the committed state is known to have been the newest. */
    long confirmedAt() {
        return confirmedAt;
    }

    /** The latest time for which proofs of a majority of the voters exist. */
    private long timeOfMajority(List<String> voters, boolean ownCounts, ToLongFunction<Proof> asOf) {
        if (voters.isEmpty()) {
            return NEVER;
        }
        long[] times = new long[voters.size()];
        for (int i = 0; i < times.length; i++) {
            times[i] = timeOf(voters.get(i), ownCounts, asOf);
        }
        Arrays.sort(times);
        return times[times.length - voters.size() / 2 - 1];
    }

    private long timeOf(String voter, boolean ownCounts, ToLongFunction<Proof> asOf) {
        if (voter.equals(context.ownKey)) {
            return ownCounts ? context.now : NEVER;
        }
        Proof proof = proofs.get(voter);
        return proof == null ? NEVER : asOf.applyAsLong(proof);
    }

    /** Keeps a proposal until its deadline, but no longer than an answer to a probe may take. */
    void enqueue(Proposal proposal) {
        long probeDeadline = context.now + context.options.probeTimeoutMicros();
        pending.add(new PendingProposal(proposal, Math.min(proposal.deadline(), probeDeadline)));
    }

    /** Submits pending proposals once contact is regained, and rejects those that have waited too long. */
    void release(List<String> voters, Consumer<Proposal> submit) {
        boolean lost = !pending.isEmpty() && isLost(voters);
        while (!pending.isEmpty() && (!lost || context.now >= pending.peek().until)) {
            Proposal next = pending.poll().proposal;
            if (lost) {
                context.answer(
                        next.id(),
                        new ProposalResult.Unavailable("this replica is not in contact with a majority of the voters"));
            } else {
                submit.accept(next);
            }
        }
    }

    /** Whether a probe is due: a proposal is pending, and no probe was sent within the probe interval. */
    boolean probeDue() {
        boolean probedLately = probedAt != NEVER && context.now - probedAt < context.options.probeIntervalMicros();
        if (pending.isEmpty() || probedLately) {
            return false;
        }
        probedAt = context.now;
        return true;
    }

    /** Forgets peers that are neither voters nor live. */
    void prune(Collection<String> voters, Set<String> live) {
        Set<String> addresses = Stream.concat(voters.stream(), live.stream())
                .map(ReplicaKey::address)
                .collect(Collectors.toSet());
        heardHeartbeats.keySet().retainAll(addresses);
        proofs.keySet().removeIf(peer -> !voters.contains(peer) && !live.contains(peer));
    }
}
