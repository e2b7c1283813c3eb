package org.cypressweir.controlplane.consensus;

/** Hands each message to the part of the replica whose job it is. */
final class ConsensusMessageHandler implements ConsensusMessage.Handler {

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final AcceptorRequestHandler acceptorRequests;
    private final PeerTable peers;
    private final QuorumContact contact;
    private final SnapshotCache snapshots;
    private final Learner learner;
    private final CommittedState committedState;
    private final Proposer proposer;
    private final VoterChangePlanner planner;
    private final VoterStatus voterStatus;
    private final HeartbeatSender heartbeats;

    ConsensusMessageHandler(
            ReplicaContext context,
            Acceptor acceptor,
            AcceptorRequestHandler acceptorRequests,
            PeerTable peers,
            QuorumContact contact,
            SnapshotCache snapshots,
            Learner learner,
            CommittedState committedState,
            Proposer proposer,
            VoterChangePlanner planner,
            VoterStatus voterStatus,
            HeartbeatSender heartbeats) {
        this.context = context;
        this.acceptor = acceptor;
        this.acceptorRequests = acceptorRequests;
        this.peers = peers;
        this.contact = contact;
        this.snapshots = snapshots;
        this.learner = learner;
        this.committedState = committedState;
        this.proposer = proposer;
        this.planner = planner;
        this.voterStatus = voterStatus;
        this.heartbeats = heartbeats;
    }

    @Override
    public void onPrepare(String from, ConsensusMessage.Prepare prepare) {
        acceptorRequests.prepare(from, prepare);
    }

    @Override
    public void onAccept(String from, ConsensusMessage.Accept accept) {
        acceptorRequests.accept(from, accept);
    }

    @Override
    public void onPromise(String from, ConsensusMessage.Promise promise) {
        context.rememberHeldStates(from, promise.accepted(), promise.committed());
        proposer.onPromise(from, promise);
    }

    @Override
    public void onRejected(String from, ConsensusMessage.Rejected rejected) {
        proposer.onRejected(from, rejected);
    }

    @Override
    public void onAccepted(String from, ConsensusMessage.Accepted accepted) {
        proposer.onAccepted(from, accepted);
    }

    @Override
    public void onBaseMismatch(String from, ConsensusMessage.BaseMismatch mismatch) {
        context.rememberHeldStates(from, mismatch.accepted(), mismatch.committed());
        proposer.onBaseMismatch(from, mismatch);
    }

    @Override
    public void onCommitted(String from, ConsensusMessage.Committed committed) {
        committedState.onCommitted(committed.number());
    }

    @Override
    public void onHeartbeat(String from, ConsensusMessage.Heartbeat heartbeat) {
        context.seen(heartbeat.accepted());
        if (peers.update(from, heartbeat)) {
            contact.onHeartbeat(from, heartbeat);
            committedState.onHeartbeat(heartbeat, voterStatus.isVoter());
        }
        if (heartbeat.replyRequested()) {
            heartbeats.send(ReplicaKey.address(from));
        }
    }

    @Override
    public void onLeaveNotice(String from, ConsensusMessage.LeaveNotice notice) {
        peers.markLeaving(from, notice.incarnation());
        planner.withdrawStandby(from);
        // It waits until its state is known to be on the others' disks.
        heartbeats.send(ReplicaKey.address(from));
    }

    @Override
    public void onLearnRequest(String from, ConsensusMessage.LearnRequest request) {
        heartbeats.answerLearnRequest(from, request);
    }

    @Override
    public void onLearnResponse(String from, ConsensusMessage.LearnResponse response) {
        learner.onResponse(from, response);
    }

    @Override
    public void onFetchState(String from, ConsensusMessage.FetchState request) {
        if (acceptor.initialized()) {
            snapshots.keep(committedState.state());
            snapshots.keep(acceptor.state());
        }
        snapshots.onFetchState(from, request);
    }

    @Override
    public void onStateChunk(String from, ConsensusMessage.StateChunk chunk) {
        learner.onStateChunk(chunk);
        committedState.onStateChunk(chunk);
        proposer.onStateChunk(chunk);
    }

    @Override
    public void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        learner.onStateUnavailable(from, unavailable);
        committedState.onStateUnavailable(from, unavailable);
        proposer.onStateUnavailable(from, unavailable);
    }

    @Override
    public void onJoinRequest(String from, ConsensusMessage.JoinRequest request) {
        if (voterStatus.isVoter() && !voterStatus.voters().contains(from)) {
            planner.addStandby(from, request.accepted());
            proposer.tick(true);
        }
    }
}
