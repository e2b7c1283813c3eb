package org.cypressweir.controlplane.consensus;

/**
 * Passes each message to the part of the replica that handles it. Confined to the thread of its replica, and lives
 * as long.
 */
final class ConsensusMessageHandler implements ConsensusMessage.Handler {

    private final ReplicaContext context;
    private final PaxosRoles roles;
    private final QuorumMembership membership;
    private final SnapshotCache snapshots;
    private final HeartbeatSender heartbeats;

    ConsensusMessageHandler(
            ReplicaContext context,
            PaxosRoles roles,
            QuorumMembership membership,
            SnapshotCache snapshots,
            HeartbeatSender heartbeats) {
        this.context = context;
        this.roles = roles;
        this.membership = membership;
        this.snapshots = snapshots;
        this.heartbeats = heartbeats;
    }

    @Override
    public void onPrepare(String from, ConsensusMessage.Prepare prepare) {
        roles.acceptorRequests().prepare(from, prepare);
    }

    @Override
    public void onAccept(String from, ConsensusMessage.Accept accept) {
        roles.acceptorRequests().accept(from, accept);
    }

    @Override
    public void onPromise(String from, ConsensusMessage.Promise promise) {
        context.rememberHeldStates(from, promise.accepted(), promise.committed());
        roles.proposer().onPromise(from, promise);
    }

    @Override
    public void onRejected(String from, ConsensusMessage.Rejected rejected) {
        roles.proposer().onRejected(from, rejected);
    }

    @Override
    public void onAccepted(String from, ConsensusMessage.Accepted accepted) {
        roles.proposer().onAccepted(from, accepted);
    }

    @Override
    public void onBaseMismatch(String from, ConsensusMessage.BaseMismatch mismatch) {
        context.rememberHeldStates(from, mismatch.accepted(), mismatch.committed());
        roles.proposer().onBaseMismatch(from, mismatch);
    }

    @Override
    public void onCommitted(String from, ConsensusMessage.Committed committed) {
        roles.committedState().onCommitted(committed.number());
    }

    @Override
    public void onHeartbeat(String from, ConsensusMessage.Heartbeat heartbeat) {
        context.observeNumber(heartbeat.accepted());
        if (membership.peers().update(from, heartbeat)) {
            membership.contact().onHeartbeat(from, heartbeat);
            roles.committedState().onHeartbeat(heartbeat, membership.status().isVoter());
        }
        if (heartbeat.replyRequested()) {
            heartbeats.send(ReplicaKey.address(from));
        }
    }

    @Override
    public void onLeaveNotice(String from, ConsensusMessage.LeaveNotice notice) {
        membership.peers().markLeaving(from, notice.incarnation());
        membership.planner().withdrawStandby(from);
        // The leaving replica waits until it knows that the others have accepted its state.
        heartbeats.send(ReplicaKey.address(from));
    }

    @Override
    public void onLearnRequest(String from, ConsensusMessage.LearnRequest request) {
        heartbeats.answerLearnRequest(from, request);
    }

    @Override
    public void onLearnResponse(String from, ConsensusMessage.LearnResponse response) {
        roles.learner().onResponse(from, response);
    }

    @Override
    public void onFetchState(String from, ConsensusMessage.FetchState request) {
        if (roles.acceptor().initialized()) {
            snapshots.keep(roles.committedState().state());
            snapshots.keep(roles.acceptor().state());
        }
        snapshots.onFetchState(from, request);
    }

    @Override
    public void onStateChunk(String from, ConsensusMessage.StateChunk chunk) {
        roles.learner().onStateChunk(chunk);
        roles.committedState().onStateChunk(chunk);
        roles.proposer().onStateChunk(chunk);
    }

    @Override
    public void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        roles.learner().onStateUnavailable(from, unavailable);
        roles.committedState().onStateUnavailable(from, unavailable);
        roles.proposer().onStateUnavailable(from, unavailable);
    }

    @Override
    public void onJoinRequest(String from, ConsensusMessage.JoinRequest request) {
        if (membership.status().isVoter() && !membership.status().voters().contains(from)) {
            membership.planner().addStandby(from, request.accepted());
            roles.proposer().tick(true);
        }
    }
}
