package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The last heartbeat of each peer, and when each was heard last. */
final class PeerTable {

    /** For how many times the unresponsive time a peer that is no voter is remembered. */
    private static final int RETENTION_FACTOR = 20;

    private final ReplicaContext context;
    private final Map<String, Long> heardAt = new HashMap<>();
    /** When a peer that was never heard was first asked for. */
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
     * Takes a heartbeat unless it is of an earlier incarnation. Incarnations are drawn from clocks, and a
     * clock may be set back: where the one with the higher number has fallen silent, the other is the later.
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

    /** How long a peer has not been heard; of one never heard, since it was first asked for. */
    long silenceMicros(String peer) {
        Long last = heardAt.get(peer);
        return context.now - (last != null ? last : firstMissedAt.computeIfAbsent(peer, key -> context.now));
    }

    /** Whether a peer that is heard now had not been heard for longer than the liveness time-out. */
    boolean isBack(String peer) {
        Long last = heardAt.get(peer);
        return last != null && context.now - last >= context.options.livenessTimeoutMicros();
    }

    /** Whether another disk has been heard at that replica's address since it was heard last. */
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

    /** Those of them that were heard within the liveness time-out. */
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

    /** Those of them that have accepted it as voters, and not only learned it. */
    Set<String> votedFor(ProposalNumber number) {
        Set<String> accepters = holders(number);
        accepters.removeIf(peer -> heartbeats.get(peer).learnedSecondHand());
        return accepters;
    }

    /** Peers that may have a committed state at hand: they accepted it, or know it to be committed. */
    Set<String> holdersOfCommitted(ProposalNumber number) {
        Set<String> holders = holders(number);
        heartbeats.forEach((peer, heartbeat) -> {
            if (heartbeat.committed().equals(number)) {
                holders.add(peer);
            }
        });
        return holders;
    }

    /** Forgets peers that have not been heard for long and are no voters. */
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
