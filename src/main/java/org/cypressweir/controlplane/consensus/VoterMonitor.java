package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Set;

/** Sees which members of a crew are there, and who is gone. */
final class VoterMonitor {

    /** From here on a crew is better off without a member that is silent, also where nobody waits. */
    private static final int LEAST_TO_SHRINK = 4;

    private final ReplicaContext desk;
    private final PeerTable peers;

    VoterMonitor(ReplicaContext desk, PeerTable peers) {
        this.desk = desk;
        this.peers = peers;
    }

    /** The members that are heard, this harbour among them. */
    List<String> live(List<String> crew) {
        Set<String> near = peers.near(crew);
        return crew.stream().filter(m -> m.equals(desk.own) || near.contains(m)).toList();
    }

    /** Those of them that stay. */
    List<String> staying(List<String> crew) {
        return live(crew).stream()
                .filter(m -> m.equals(desk.own) || !peers.leaves(m))
                .toList();
    }

    /**
     * Who should be taken out next, or null. Whose address speaks with another disk is gone at once. One that
     * leaves or is silent goes where another waits to come in; without one a silent member of a crew of even
     * number goes, and one of several.
     */
    String gone(List<String> crew, boolean standby) {
        for (String member : crew) {
            if (peers.replaced(member)) {
                return member;
            }
        }
        List<String> silent = crew.stream()
                .filter(m -> !m.equals(desk.own) && peers.silence(m) >= desk.plan.silentAfter())
                .toList();
        boolean shrinks = crew.size() >= LEAST_TO_SHRINK && (crew.size() % 2 == 0 || silent.size() > 1);
        if (!silent.isEmpty() && (standby || shrinks)) {
            return silent.get(0);
        }
        return !standby
                ? null
                : crew.stream()
                        .filter(m -> !m.equals(desk.own) && peers.leaves(m))
                        .findFirst()
                        .orElse(null);
    }
}
