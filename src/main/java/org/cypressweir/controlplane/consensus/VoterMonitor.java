package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Set;

/** Tells which voters respond, and which one should be removed. */
final class VoterMonitor {

    /** From here on the voters are better off without an unresponsive one, also where no standby waits. */
    private static final int MIN_VOTERS_TO_SHRINK = 4;

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
     * once. One that shuts down or is unresponsive is removed where a standby waits; without one, an
     * unresponsive voter is removed from an even number of voters, or if there are several.
     */
    String toRemove(List<String> voters, boolean hasStandby) {
        for (String voter : voters) {
            if (peers.replaced(voter)) {
                return voter;
            }
        }
        List<String> unresponsive = unresponsive(voters);
        boolean shrinks = voters.size() >= MIN_VOTERS_TO_SHRINK && (voters.size() % 2 == 0 || unresponsive.size() > 1);
        if (!unresponsive.isEmpty() && (hasStandby || shrinks)) {
            return unresponsive.get(0);
        }
        return hasStandby ? firstLeaving(voters) : null;
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
