package org.cypressweir.controlplane.consensus;

import java.util.Set;
import org.cypressweir.controlplane.configuration.Configuration;

/**
 * The learner of a replica that holds a state. Tracks the highest number known to be committed, and the last
 * committed state that was published. If that state falls behind the number, the newer one is fetched from a
 * peer, published, and accepted unless a higher number has been promised.
 */
final class CommittedState {

    private static final long NOT_BEHIND = -1;

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final PeerTable peers;
    private ProposalNumber number = ProposalNumber.ZERO;
    private ReplicatedState state;
    private long behindSince = NOT_BEHIND;
    private StateTransfer transfer;
    private ProposalNumber unresolved = ProposalNumber.ZERO;
    private long recoveryAt;

    CommittedState(ReplicaContext context, Acceptor acceptor, PeerTable peers) {
        this.context = context;
        this.acceptor = acceptor;
        this.peers = peers;
        state = new ReplicatedState(ProposalNumber.ZERO, acceptor.state().voters(), Configuration.EMPTY);
    }

    /** The highest number known to be committed. */
    ProposalNumber number() {
        return number;
    }

    /** The last committed state that was published. */
    ReplicatedState state() {
        return state;
    }

    /** Records that the state of that number is committed, and publishes it if this replica has accepted it. */
    void onCommitted(ProposalNumber committed) {
        if (committed.above(number)) {
            number = committed;
        }
        context.observeNumber(committed);
        publishAccepted();
    }

    /** Publishes a committed state, unless a higher one was published before. */
    void publish(ReplicatedState committed) {
        if (committed.number().above(number)) {
            number = committed.number();
        }
        if (committed.number().above(state.number())) {
            state = committed;
            context.addEffect(new Effect.Publish(state.number(), state.configuration(), state.voters()));
        }
    }

    /** Takes the committed number of a heartbeat. A voter also counts which voters have accepted the same state. */
    void onHeartbeat(ConsensusMessage.Heartbeat heartbeat, boolean isVoter) {
        if (heartbeat.blank()) {
            return;
        }
        onCommitted(heartbeat.committed());
        if (isVoter && heartbeat.accepted().above(number) && heartbeat.voters().contains(context.ownKey)) {
            Set<String> acceptedBy = peers.votedFor(heartbeat.accepted());
            if (acceptor.accepted().equals(heartbeat.accepted()) && !acceptor.learnedSecondHand()) {
                acceptedBy.add(context.ownKey);
            }
            if (ReplicatedState.isMajority(heartbeat.voters(), acceptedBy)) {
                onCommitted(heartbeat.accepted());
            }
        }
    }

    /** Publishes the accepted state if it is known to be committed. */
    void publishAccepted() {
        if (acceptor.accepted().equals(number)) {
            publish(acceptor.state());
        }
    }

    void tick() {
        publishAccepted();
        if (!number.above(state.number()) || !acceptor.initialized()) {
            behindSince = NOT_BEHIND;
            transfer = null;
            return;
        }
        if (transfer != null) {
            transfer.tick();
            if (transfer.failed()) {
                transfer = null;
            }
        } else if (behindSince < 0) {
            behindSince = context.now;
        } else if (context.now - behindSince >= context.options.catchUpDelayMicros()) {
            transfer = new StateTransfer(context, number, peers.holdersOfCommitted(number), state, acceptor.state());
        }
    }

    void onStateChunk(ConsensusMessage.StateChunk chunk) {
        if (transfer == null || !transfer.number().equals(chunk.number())) {
            return;
        }
        ReplicatedState fetched = transfer.onStateChunk(chunk);
        if (fetched == null) {
            return;
        }
        transfer = null;
        behindSince = context.now;
        publish(fetched);
        if (!acceptor.diskFailed()) {
            acceptor.adopt(fetched);
        }
    }

    void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        if (transfer != null && transfer.number().equals(unavailable.number())) {
            transfer.onStateUnavailable(from);
        }
    }

    /** Whether it has been unknown for too long if the highest accepted state is committed. */
    boolean recoveryDue() {
        ProposalNumber highest = highestAccepted();
        if (!highest.above(number)) {
            unresolved = ProposalNumber.ZERO;
            return false;
        }
        if (!highest.equals(unresolved)) {
            unresolved = highest;
            scheduleRecovery();
        }
        if (context.now < recoveryAt) {
            return false;
        }
        scheduleRecovery();
        return true;
    }

    private ProposalNumber highestAccepted() {
        ProposalNumber highest = acceptor.accepted();
        for (String voter : acceptor.state().voters()) {
            ConsensusMessage.Heartbeat heartbeat = peers.heartbeat(voter);
            if (heartbeat != null && !heartbeat.blank()) {
                highest = ProposalNumber.higher(highest, heartbeat.accepted());
            }
        }
        return highest;
    }

    private void scheduleRecovery() {
        recoveryAt = context.now
                + context.options.recoveryDelayMicros()
                + context.jitter(context.options.recoveryJitterMicros());
    }
}
