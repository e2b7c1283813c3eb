package org.cypressweir.controlplane.consensus;

import java.util.Set;
import org.cypressweir.controlplane.configuration.Configuration;

/**
 * The learner's view of a replica that holds a state: the highest number known to be committed, and the last
 * committed state that has been published. If the state falls behind the number it is fetched from a peer,
 * published, and accepted where no promise is in the way.
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

    /** The state of that number is committed. */
    void onCommitted(ProposalNumber committed) {
        if (committed.above(number)) {
            number = committed;
        }
        context.seen(committed);
        publishAccepted();
    }

    /** That state is committed: it is shown to the caller. */
    void publish(ReplicatedState committed) {
        if (committed.number().above(number)) {
            number = committed.number();
        }
        if (committed.number().above(state.number())) {
            state = committed;
            context.add(new Effect.Show(state.number(), state.configuration(), state.voters()));
        }
    }

    /** A voter works out from heartbeats whether a majority has accepted the same state. */
    void onHeartbeat(ConsensusMessage.Heartbeat heartbeat, boolean isVoter) {
        if (heartbeat.blank()) {
            return;
        }
        onCommitted(heartbeat.committed());
        if (isVoter && heartbeat.accepted().above(number) && heartbeat.voters().contains(context.own)) {
            Set<String> accepters = peers.votedFor(heartbeat.accepted());
            if (acceptor.accepted().equals(heartbeat.accepted()) && !acceptor.learnedSecondHand()) {
                accepters.add(context.own);
            }
            if (ReplicatedState.isMajority(heartbeat.voters(), accepters)) {
                onCommitted(heartbeat.accepted());
            }
        }
    }

    /** Publishes what this replica has accepted, where that is committed. */
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

    /** Whether it has been open for too long if the highest accepted state is committed. */
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
