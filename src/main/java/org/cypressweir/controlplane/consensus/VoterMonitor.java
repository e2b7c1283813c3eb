package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Set;

/** Tells which voters respond, and which one should be removed. */
final class VoterMonitor {

    private final ReplicaContext context;
    private final PeerTable peers;

    VoterMonitor(ReplicaContext context, PeerTable peers) {
        this.context = context;
        this.peers = peers;
    }

    /** The voters that respond, this replica among them. */
    List<String> live(List<String> voters) {
        Set<String> responsive = peers.responsive(voters);
        return voters.stream()
                .filter(voter -> voter.equals(context.ownKey) || responsive.contains(voter))
                .toList();
    }

    /** The voters that respond and are not shutting down. */
    List<String> staying(List<String> voters) {
        return live(voters).stream()
                .filter(voter -> voter.equals(context.ownKey) || !peers.isLeaving(voter))
                .toList();
    }

    /**
     * Which voter should be removed next, or null. One whose address is in use by another disk is removed at
     * once. One that is unresponsive or shutting down is removed only if another can take its place: with fewer
     * voters a majority would be fewer disks, and a commit would no longer survive the loss of as many disks as
     * it has to.
     *
     * @param hasSuccessor whether a standby waits, or there are more voters than the target
     */
    String toRemove(List<String> voters, boolean hasSuccessor) {
        for (String voter : voters) {
            if (peers.replaced(voter)) {
                return voter;
            }
        }
        if (!hasSuccessor) {
            return null;
        }
        List<String> unresponsive = unresponsive(voters);
        return unresponsive.isEmpty() ? firstLeaving(voters) : unresponsive.get(0);
    }

    private List<String> unresponsive(List<String> voters) {
        long limitMicros = context.options.unresponsiveAfterMicros();
        return voters.stream()
                .filter(voter -> !voter.equals(context.ownKey) && peers.silenceMicros(voter) >= limitMicros)
                .toList();
    }

    private String firstLeaving(List<String> voters) {
        return voters.stream()
                .filter(voter -> !voter.equals(context.ownKey) && peers.isLeaving(voter))
                .findFirst()
                .orElse(null);
    }
}
