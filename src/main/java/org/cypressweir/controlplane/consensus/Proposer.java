package org.cypressweir.controlplane.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;

/**
 * Runs proposal rounds, one at a time: for waiting proposals, to find out whether an accepted state is
 * chosen, and to change the voters. After a failed round the next one waits for a random, growing backoff.
 */
final class Proposer implements ProposalRound.Listener {

    static final String DISK_FAILED = "the disk of this replica takes no writes";
    static final String NOT_A_VOTER = "this replica is not a voter";

    private static final int MAX_DOUBLINGS = 5;

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final CommittedState committedState;
    private final VoterChangePlanner planner;
    private final Deque<Proposal> waiting = new ArrayDeque<>();
    private ProposalRound round;
    private long notBefore;
    private int failures;

    Proposer(ReplicaContext context, Acceptor acceptor, CommittedState committedState, VoterChangePlanner planner) {
        this.context = context;
        this.acceptor = acceptor;
        this.committedState = committedState;
        this.planner = planner;
    }

    void submit(Proposal proposal) {
        if (proposal.deadline() <= context.now) {
            answerExpired(proposal);
            return;
        }
        waiting.add(proposal);
        beginIfIdle();
    }

    private void answerExpired(Proposal proposal) {
        context.answer(proposal.id(), new ProposalResult.Unavailable("not agreed in time"));
    }

    /** Begins a round if proposals are waiting and no round is running. */
    void beginIfIdle() {
        if (round == null && !waiting.isEmpty() && ready()) {
            begin();
        }
    }

    private boolean ready() {
        return context.now >= notBefore && acceptor.initialized() && !acceptor.diskFailed();
    }

    private void begin() {
        List<Proposal> proposals = new ArrayList<>(waiting);
        waiting.clear();
        round = new ProposalRound(context, acceptor, committedState.state(), planner, proposals, this);
        round.begin();
    }

    void tick(boolean isVoter) {
        failExpired();
        if (acceptor.diskFailed()) {
            if (round != null && round.waitsForDisk()) {
                round.fail(false, DISK_FAILED);
            }
            rejectWaiting(DISK_FAILED);
        }
        if (round != null) {
            round.tick();
        }
        if (!acceptor.initialized()) {
            return;
        }
        if (!isVoter) {
            rejectWaiting(NOT_A_VOTER);
            return;
        }
        beginIfDue();
    }

    private void beginIfDue() {
        boolean recoveryDue = committedState.recoveryDue();
        List<String> voters = acceptor.state().voters();
        if (round == null
                && ready()
                && (recoveryDue
                        || !waiting.isEmpty()
                        || !planner.nextVoters(voters).equals(voters))) {
            begin();
        }
    }

    private void failExpired() {
        waiting.removeIf(proposal -> {
            boolean expired = proposal.deadline() <= context.now;
            if (expired) {
                answerExpired(proposal);
            }
            return expired;
        });
    }

    private void rejectWaiting(String reason) {
        waiting.forEach(proposal -> context.answer(proposal.id(), new ProposalResult.Unavailable(reason)));
        waiting.clear();
    }

    @Override
    public void committed(ReplicatedState state) {
        ProposalRound done = round;
        round = null;
        failures = 0;
        if (state.number().above(committedState.number())) {
            TreeSet<String> learners = new TreeSet<>(state.voters());
            learners.addAll(acceptor.state().voters());
            learners.addAll(done.allVoters());
            learners.forEach(learner -> context.send(learner, new ConsensusMessage.Committed(state.number())));
        }
        committedState.publish(state);
        beginIfIdle();
    }

    @Override
    public void failed(List<Proposal> proposals, boolean retryable, String reason) {
        round = null;
        if (retryable) {
            for (int i = proposals.size() - 1; i >= 0; i--) {
                waiting.addFirst(proposals.get(i));
            }
        } else {
            proposals.forEach(proposal -> context.answer(proposal.id(), new ProposalResult.Unavailable(reason)));
        }
        long minBackoff = context.options.minBackoffMicros();
        long maxJitter = 2 * (minBackoff << Math.min(failures++, MAX_DOUBLINGS));
        notBefore = context.now + minBackoff + context.jitter(Math.min(context.options.maxBackoffMicros(), maxJitter));
    }

    void onPromise(String from, ConsensusMessage.Promise promise) {
        if (round != null) {
            round.onPromise(from, promise);
        }
    }

    void onRejected(String from, ConsensusMessage.Rejected rejected) {
        context.observeNumber(rejected.promised());
        if (round != null) {
            round.onRejected(from, rejected);
        }
    }

    void onAccepted(String from, ConsensusMessage.Accepted accepted) {
        if (round != null) {
            round.onAccepted(from, accepted);
        }
    }

    void onBaseMismatch(String from, ConsensusMessage.BaseMismatch mismatch) {
        if (round != null) {
            round.onBaseMismatch(from, mismatch);
        }
    }

    void onStateChunk(ConsensusMessage.StateChunk chunk) {
        if (round != null) {
            round.onStateChunk(chunk);
        }
    }

    void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        if (round != null) {
            round.onStateUnavailable(from, unavailable);
        }
    }
}
