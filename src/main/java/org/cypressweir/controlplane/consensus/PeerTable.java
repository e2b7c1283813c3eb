package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The last heartbeat of each peer, and when each was heard last. */
final class PeerTable {

    /** A silent peer that is not a voter is forgotten after this many times the unresponsive time. */
    private static final int RETENTION_FACTOR = 20;

    private final ReplicaContext context;
    private final Map<String, Long> heardAt = new HashMap<>();
    /** For peers that were never heard, when their silence was first looked up. */
    private final Map<String, Long> firstMissedAt = new HashMap<>();

    private final Map<String, ConsensusMessage.Heartbeat> heartbeats = new HashMap<>();
    private final Map<String, Long> heartbeatAt = new HashMap<>();
    /** Peers that shut down, with the incarnation that said so. */
    private final Map<String, Long> leavingIncarnations = new HashMap<>();

    PeerTable(ReplicaContext context) {
        this.context = context;
    }

    void heardFrom(String peer) {
        heardAt.put(peer, context.now);
    }

    /**
     * Takes a heartbeat and returns true, unless it is older than the last one or of an earlier incarnation.
     * Incarnations come from clocks, and a clock may be set back: once the higher incarnation has been silent
     * for the liveness time-out, a lower one counts as the later.
     */
    boolean update(String from, ConsensusMessage.Heartbeat heartbeat) {
        ConsensusMessage.Heartbeat before = heartbeats.get(from);
        if (before != null
                && before.incarnation() > heartbeat.incarnation()
                && context.now - heartbeatAt.get(from) < context.options.livenessTimeoutMicros()) {
            return false;
        }
        if (before != null
                && before.incarnation() == heartbeat.incarnation()
                && before.accepted().above(heartbeat.accepted())) {
            return false;
        }
        heartbeats.put(from, heartbeat);
        leavingIncarnations.computeIfPresent(
                from, (peer, incarnation) -> incarnation == heartbeat.incarnation() ? incarnation : null);
        heartbeatAt.put(from, context.now);
        return true;
    }

    /** The last heartbeat, or null. */
    ConsensusMessage.Heartbeat heartbeat(String peer) {
        return heartbeats.get(peer);
    }

    /** Whether a peer is known to have accepted the state of that number or a higher one. */
    boolean hasAccepted(String peer, ProposalNumber number) {
        ConsensusMessage.Heartbeat heartbeat = heartbeats.get(peer);
        return heartbeat != null && !heartbeat.blank() && !number.above(heartbeat.accepted());
    }

    /** The time since a peer was last heard; for one never heard, since this was first looked up. */
    long silenceMicros(String peer) {
        Long last = heardAt.get(peer);
        return context.now - (last != null ? last : firstMissedAt.computeIfAbsent(peer, key -> context.now));
    }

    /** Whether a peer that is heard now was silent for the liveness time-out or longer before. */
    boolean isBack(String peer) {
        Long last = heardAt.get(peer);
        return last != null && context.now - last >= context.options.livenessTimeoutMicros();
    }

    /** Whether a replica with another disk was heard at the same address since this one was last heard. */
    boolean replaced(String replica) {
        long last = heardAt.getOrDefault(replica, Long.MIN_VALUE);
        return heardAt.entrySet().stream()
                .anyMatch(other -> other.getValue() > last
                        && !other.getKey().equals(replica)
                        && ReplicaKey.address(other.getKey()).equals(ReplicaKey.address(replica)));
    }

    void markLeaving(String peer, long incarnation) {
        leavingIncarnations.put(peer, incarnation);
    }

    boolean isLeaving(String peer) {
        return leavingIncarnations.containsKey(peer);
    }

    /** Those of the replicas that were heard within the liveness time-out and have not been replaced. */
    Set<String> responsive(Collection<String> replicas) {
        Set<String> responsive = new HashSet<>(replicas);
        responsive.removeIf(
                replica -> silenceMicros(replica) > context.options.livenessTimeoutMicros() || replaced(replica));
        return responsive;
    }

    /** All peers that are not yet taken to be unresponsive. */
    Set<String> live() {
        Set<String> live = new HashSet<>();
        heardAt.forEach((peer, at) -> {
            if (context.now - at <= context.options.unresponsiveAfterMicros()) {
                live.add(peer);
            }
        });
        return live;
    }

    /** Peers whose accepted state is that one. */
    Set<String> holders(ProposalNumber number) {
        Set<String> holders = new HashSet<>();
        heartbeats.forEach((peer, heartbeat) -> {
            if (!heartbeat.blank() && heartbeat.accepted().equals(number)) {
                holders.add(peer);
            }
        });
        return holders;
    }

    /** Peers that have accepted the state of that number as voters, and not only learned it. */
    Set<String> votedFor(ProposalNumber number) {
        Set<String> acceptedBy = holders(number);
        acceptedBy.removeIf(peer -> heartbeats.get(peer).learnedSecondHand());
        return acceptedBy;
    }

    /** Peers that may hold a committed state: they have accepted it, or know it to be committed. */
    Set<String> holdersOfCommitted(ProposalNumber number) {
        Set<String> holders = holders(number);
        heartbeats.forEach((peer, heartbeat) -> {
            if (heartbeat.committed().equals(number)) {
                holders.add(peer);
            }
        });
        return holders;
    }

    /** Forgets peers that have been silent for long and are not voters. */
    void prune(List<String> voters) {
        long retentionMicros = RETENTION_FACTOR * context.options.unresponsiveAfterMicros();
        heardAt.entrySet()
                .removeIf(peer -> context.now - peer.getValue() > retentionMicros && !voters.contains(peer.getKey()));
        heartbeats.keySet().removeIf(peer -> !heardAt.containsKey(peer));
        heartbeatAt.keySet().retainAll(heartbeats.keySet());
        leavingIncarnations.keySet().retainAll(heartbeats.keySet());
        firstMissedAt.keySet().retainAll(voters);
    }
}
