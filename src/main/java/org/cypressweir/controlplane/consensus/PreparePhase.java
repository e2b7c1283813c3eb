package org.cypressweir.controlplane.consensus;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Phase 1: asks voters for promises, and repeats the request to those that do not answer. */
final class PreparePhase implements RoundPhase {

    private final ReplicaContext context;
    private final ProposalNumber number;
    private final PrepareQuorum promises;
    private final Set<String> asked = new HashSet<>();
    private long sentAt;

    PreparePhase(ReplicaContext context, ProposalNumber number, PrepareQuorum promises) {
        this.context = context;
        this.number = number;
        this.promises = promises;
    }

    /** Begins with this replica's own promise, which is durable. */
    void begin(Acceptor acceptor) {
        sentAt = context.now;
        promises.add(context.ownKey, acceptor.accepted(), acceptor.state().voters(), acceptor.learnedSecondHand());
        ask(acceptor.state().voters());
    }

    /** Asks those of the voters that have not been asked yet. */
    void ask(List<String> voters) {
        for (String voter : voters) {
            if (asked.add(voter)) {
                send(voter);
            }
        }
    }

    /** Takes a promise, in this phase or later; false if it was not asked for. */
    boolean record(String from, ConsensusMessage.Promise promise) {
        if (!asked.contains(from)) {
            return false;
        }
        promises.add(from, promise.accepted(), promise.voters(), promise.learnedSecondHand());
        return true;
    }

    @Override
    public Optional<List<String>> requiredVoters() {
        return Optional.of(promises.votersOf(context.ownKey));
    }

    @Override
    public void tick() {
        if (context.now - sentAt < context.options.resendAfterMicros()) {
            return;
        }
        sentAt = context.now;
        asked.stream()
                .sorted()
                .filter(voter -> !promises.from().contains(voter))
                .forEach(this::send);
    }

    private void send(String voter) {
        context.send(voter, new ConsensusMessage.Prepare(voter, number));
    }
}
