package org.cypressweir.controlplane.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Who the voters are as far as this replica knows, whether it is one of them, and whom it sends to. */
final class VoterStatus {

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final CommittedState committedState;
    private final Learner learner;
    private final PeerTable peers;

    VoterStatus(
            ReplicaContext context,
            Acceptor acceptor,
            CommittedState committedState,
            Learner learner,
            PeerTable peers) {
        this.context = context;
        this.acceptor = acceptor;
        this.committedState = committedState;
        this.learner = learner;
        this.peers = peers;
    }

    /** The voters of the newest state known here; the seeds for a blank replica. */
    List<String> voters() {
        if (!acceptor.initialized()) {
            return learner.seeds();
        }
        ReplicatedState committed = committedState.state();
        return committed.number().above(acceptor.accepted())
                ? committed.voters()
                : acceptor.state().voters();
    }

    boolean isVoter() {
        return acceptor.initialized() && voters().contains(context.ownKey);
    }

    /** Addresses of the voters, and of the seeds and standbys that were heard recently. */
    Set<String> heartbeatTargets() {
        Set<String> targets = learner.targets(peers.live());
        if (acceptor.initialized()) {
            Set<String> liveAddresses = new HashSet<>();
            peers.live().forEach(peer -> liveAddresses.add(ReplicaKey.address(peer)));
            targets.retainAll(liveAddresses);
            addVoterAddresses(targets);
        }
        return targets;
    }

    /** Addresses of all who may make this replica a voter. */
    Set<String> joinTargets() {
        Set<String> targets = learner.targets(peers.live());
        addVoterAddresses(targets);
        return targets;
    }

    private void addVoterAddresses(Set<String> targets) {
        voters().forEach(voter -> targets.add(ReplicaKey.address(voter)));
    }
}
