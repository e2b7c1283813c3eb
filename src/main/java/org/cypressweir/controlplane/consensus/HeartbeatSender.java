package org.cypressweir.controlplane.consensus;

import java.util.List;

/** Tells peers what this replica has accepted and knows to be committed. */
final class HeartbeatSender {

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final CommittedState committedState;
    private final QuorumContact contact;
    private final SnapshotCache snapshots;

    HeartbeatSender(
            ReplicaContext context,
            Acceptor acceptor,
            CommittedState committedState,
            QuorumContact contact,
            SnapshotCache snapshots) {
        this.context = context;
        this.acceptor = acceptor;
        this.committedState = committedState;
        this.contact = contact;
        this.snapshots = snapshots;
    }

    void send(String target) {
        send(target, false);
    }

    /** Sends a heartbeat that the peer answers at once. */
    void probe(String target) {
        send(target, true);
    }

    private void send(String target, boolean replyRequested) {
        cacheAcceptedState();
        context.send(
                target,
                new ConsensusMessage.Heartbeat(
                        context.incarnation,
                        acceptor.accepted(),
                        committedState.number(),
                        voters(),
                        !acceptor.initialized(),
                        acceptor.learnedSecondHand(),
                        contact.nextSequence(),
                        replyRequested,
                        contact.echoedIncarnation(target),
                        contact.echoedSequence(target)));
    }

    void answerLearnRequest(String from, ConsensusMessage.LearnRequest request) {
        cacheAcceptedState();
        context.send(
                from,
                new ConsensusMessage.LearnResponse(
                        request.incarnation(),
                        acceptor.accepted(),
                        committedState.number(),
                        voters(),
                        !acceptor.initialized()));
    }

    /** A peer that is told of the accepted state may fetch it next. */
    private void cacheAcceptedState() {
        if (acceptor.initialized()) {
            snapshots.keep(acceptor.state());
        }
    }

    private List<String> voters() {
        return acceptor.initialized() ? acceptor.state().voters() : List.of();
    }
}
