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
                .filter(voter -> voter.equals(context.own) || responsive.contains(voter))
                .toList();
    }

    /** Those of them that do not shut down. */
    List<String> staying(List<String> voters) {
        return live(voters).stream()
                .filter(voter -> voter.equals(context.own) || !peers.isLeaving(voter))
                .toList();
    }

    /**
     * Which voter should be removed next, or null. One whose address is in use by another disk is removed at
     * once. One that is unresponsive or shuts down is removed only where another takes its place: with fewer
     * voters a majority would be fewer disks, and a commit would no longer survive the loss of as many as may
     * be lost.
     *
     * @param hasSuccessor whether a standby waits, or there are more voters than wanted
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
                .filter(voter -> !voter.equals(context.own) && peers.silenceMicros(voter) >= limitMicros)
                .toList();
    }

    private String firstLeaving(List<String> voters) {
        return voters.stream()
                .filter(voter -> !voter.equals(context.own) && peers.isLeaving(voter))
                .findFirst()
                .orElse(null);
    }
}
