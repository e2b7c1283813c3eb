package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Item;

/**
 * One proposal number from prepare to commit: promises are collected, the waiting proposals applied to the
 * highest accepted state found, and the voters asked to accept the result.
 *
 * <p>This replica promises and accepts itself, durably, before it asks any other to. A phase of the round is a
 * {@link RoundPhase}. A round that is over does nothing more.
 */
final class ProposalRound {

    /** Notified once, when the round ends. */
    interface Listener {
        void committed(ReplicatedState state);

        /** @param retryable whether a later round may succeed with the same proposals */
        void failed(List<Proposal> proposals, boolean retryable, String reason);
    }

    private static final String PREEMPTED = "another round has a higher proposal number";
    private static final String TIMED_OUT = "not agreed in time";
    private static final String OUTCOME_OPEN = ", the outcome is open";
    private static final String WRITE_FAILED = "the disk takes no writes";

    private static final RoundPhase OVER = new RoundPhase() {};

    /** Waits until this replica's own promise or acceptance is durable. */
    private static final class OwnWrite implements RoundPhase {
        @Override
        public boolean waitsForDisk() {
            return true;
        }
    }

    /** Fetches the highest accepted state from those that promised with it. */
    private final class FetchPhase implements RoundPhase {
        private final StateTransfer transfer;

        FetchPhase(ProposalNumber highest) {
            transfer = new StateTransfer(context, highest, promises.holdersOf(highest), committed, acceptor.state());
        }

        @Override
        public void onStateChunk(ConsensusMessage.StateChunk chunk) {
            if (!transfer.number().equals(chunk.number())) {
                return;
            }
            extendDeadline(context.options.roundTimeoutMicros());
            ReplicatedState state = transfer.onStateChunk(chunk);
            if (state != null) {
                applyProposals(state);
            }
        }

        @Override
        public void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
            if (transfer.number().equals(unavailable.number())) {
                transfer.onStateUnavailable(from);
            }
        }

        @Override
        public void tick() {
            transfer.tick();
            if (transfer.failed()) {
                fail(true, "the base can no longer be fetched");
            }
        }
    }

    private final ReplicaContext context;
    private final Acceptor acceptor;
    private final VoterChangePlanner planner;
    private final Listener listener;
    private final ReplicatedState committed;
    private final ProposalNumber number;
    private final PrepareQuorum promises = new PrepareQuorum();
    private final PreparePhase prepare;
    private final Set<String> rejectedBy = new HashSet<>();
    private List<Proposal> proposals;
    private RoundPhase phase = new OwnWrite();
    private long deadline;
    private ReplicatedState base;
    private ReplicatedState next;
    private ProposalBatch batch;

    /** @param committed the committed state that is held here */
    ProposalRound(
            ReplicaContext context,
            Acceptor acceptor,
            ReplicatedState committed,
            VoterChangePlanner planner,
            List<Proposal> proposals,
            Listener listener) {
        this.context = context;
        this.acceptor = acceptor;
        this.committed = committed;
        this.planner = planner;
        this.proposals = proposals;
        this.listener = listener;
        number = new ProposalNumber(context.highestRound + 1, context.ownKey);
        prepare = new PreparePhase(context, number, promises);
        restartDeadline();
    }

    void begin() {
        RoundPhase ownPromise = phase;
        acceptor.promise(
                number,
                new Acceptor.PromiseCallbacks(
                        () -> beginPrepare(ownPromise),
                        higher -> fail(true, PREEMPTED),
                        () -> fail(false, WRITE_FAILED)));
    }

    private void beginPrepare(RoundPhase ownPromise) {
        if (phase != ownPromise) {
            return;
        }
        phase = prepare;
        restartDeadline();
        prepare.begin(acceptor);
        evaluatePromises();
    }

    /** Goes on once a majority of the voters of the highest accepted state has promised. */
    private void evaluatePromises() {
        List<String> voters = promises.voters();
        // A new voter may be barred by its promise from accepting the state that made it a voter. Its own state
        // then names the voters before, but the states in the promises of others name the voters now.
        prepare.ask(voters);
        if (!ReplicatedState.isMajority(voters, promises.from())) {
            return;
        }
        if (!voters.contains(context.ownKey)) {
            fail(false, "this replica is no longer a voter");
            return;
        }
        ProposalNumber highest = promises.highest();
        if (acceptor.accepted().equals(highest)) {
            applyProposals(acceptor.state());
        } else if (committed.number().equals(highest)) {
            applyProposals(committed);
        } else {
            deadline = context.now + 2 * context.options.roundTimeoutMicros();
            phase = new FetchPhase(highest);
        }
    }

    private void applyProposals(ReplicatedState found) {
        // After this process was suspended a promise may be handled before the first tick: callers of expired
        // proposals no longer wait.
        failExpired();
        base = found;
        base.configuration().checksum(); // Computed once; each change then updates it.
        batch = new ProposalBatch(proposals, base.configuration());
        // Voters may change only if the base is known to be chosen: else two sets of voters could diverge.
        boolean chosen = ReplicatedState.isMajority(base.voters(), promises.voted(base.number()));
        List<String> voters = chosen ? planner.nextVoters(base.voters()) : base.voters();
        List<Item> changed = batch.changed();
        if (chosen && changed.isEmpty() && voters.equals(base.voters())) {
            commit(base);
            return;
        }
        next = new ReplicatedState(number, voters, batch.result());
        acceptLocally(changed);
    }

    private void acceptLocally(List<Item> changed) {
        RoundPhase ownAccept = new OwnWrite();
        phase = ownAccept;
        boolean fullSnapshot = !acceptor.accepted().equals(base.number());
        acceptor.accept(
                new Acceptor.AcceptRequest(
                        number,
                        base.number(),
                        fullSnapshot,
                        next.voters(),
                        fullSnapshot ? next.configuration().items() : changed),
                new Acceptor.AcceptCallbacks(
                        () -> beginAccept(ownAccept),
                        higher -> fail(true, PREEMPTED),
                        () -> fail(true, "this replica has accepted another state"),
                        () -> fail(false, WRITE_FAILED)));
    }

    private void beginAccept(RoundPhase ownAccept) {
        if (phase != ownAccept) {
            return;
        }
        restartDeadline();
        AcceptPhase accept = new AcceptPhase(context, this, promises, base, next, batch.changed());
        phase = accept;
        accept.begin();
    }

    /** Ends the round, since that state is chosen. */
    void commit(ReplicatedState state) {
        phase = OVER;
        batch.answer(context, state.number());
        listener.committed(state);
    }

    void fail(boolean retryable, String reason) {
        if (phase != OVER) {
            phase = OVER;
            listener.failed(proposals, retryable, reason + (next != null ? OUTCOME_OPEN : ""));
        }
    }

    /** The voters before and after the change, once there is a base. */
    Set<String> allVoters() {
        Set<String> voters = new HashSet<>(base.voters());
        if (next != null) {
            voters.addAll(next.voters());
        }
        return voters;
    }

    /** Whether the round waits for this replica's disk. */
    boolean waitsForDisk() {
        return phase.waitsForDisk();
    }

    void onPromise(String from, ConsensusMessage.Promise promise) {
        if (phase != OVER && promise.number().equals(number) && prepare.record(from, promise) && phase == prepare) {
            evaluatePromises();
        }
    }

    /** A voter has promised a higher number. The round fails if the others are no majority, or are too slow. */
    void onRejected(String from, ConsensusMessage.Rejected rejected) {
        Optional<List<String>> voters = phase.requiredVoters();
        if (!rejected.number().equals(number) || voters.isEmpty()) {
            return;
        }
        rejectedBy.add(from);
        Set<String> remaining = new HashSet<>(voters.get());
        remaining.removeAll(rejectedBy);
        if (!ReplicatedState.isMajority(voters.get(), remaining)) {
            fail(true, PREEMPTED);
        } else {
            deadline = Math.min(deadline, context.now + context.options.rejectedRoundTimeoutMicros());
        }
    }

    void onAccepted(String from, ConsensusMessage.Accepted accepted) {
        if (accepted.number().equals(number)) {
            phase.onAccepted(from);
        }
    }

    void onBaseMismatch(String from, ConsensusMessage.BaseMismatch mismatch) {
        if (mismatch.number().equals(number)) {
            phase.onBaseMismatch(from);
        }
    }

    void onStateChunk(ConsensusMessage.StateChunk chunk) {
        phase.onStateChunk(chunk);
    }

    void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {
        phase.onStateUnavailable(from, unavailable);
    }

    void tick() {
        failExpired();
        if (!phase.waitsForDisk() && context.now >= deadline) {
            fail(true, TIMED_OUT);
        } else {
            phase.tick();
        }
    }

    /** Lets the round last at least this long from now on. */
    void extendDeadline(long micros) {
        deadline = Math.max(deadline, context.now + micros);
    }

    private void restartDeadline() {
        deadline = context.now + context.options.roundTimeoutMicros();
    }

    /** Answers proposals whose deadline has passed. If their changes are part of the next state, they stay in it. */
    private void failExpired() {
        List<Proposal> expired = proposals.stream()
                .filter(proposal -> proposal.deadline() <= context.now)
                .toList();
        if (expired.isEmpty()) {
            return;
        }
        String reason = TIMED_OUT + (next != null ? OUTCOME_OPEN : "");
        expired.forEach(proposal -> context.answer(proposal.id(), new ProposalResult.Unavailable(reason)));
        proposals = new ArrayList<>(proposals);
        proposals.removeAll(expired);
        if (batch != null) {
            batch.drop(expired);
        }
    }
}
