package org.cypressweir.controlplane.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The promises of a round, and what each replica had accepted before. */
final class PrepareQuorum {

    private record Promise(ProposalNumber accepted, List<String> voters, boolean learnedSecondHand) {}

    private final Map<String, Promise> promises = new HashMap<>();
    private Promise highest;

    /** Adds a promise; only the first one of a replica counts. */
    void add(String from, ProposalNumber accepted, List<String> voters, boolean learnedSecondHand) {
        Promise promise = new Promise(accepted, voters, learnedSecondHand);
        if (promises.putIfAbsent(from, promise) == null && (highest == null || accepted.above(highest.accepted))) {
            highest = promise;
        }
    }

    Set<String> from() {
        return promises.keySet();
    }

    /** The number of the highest state that any of them had accepted. */
    ProposalNumber highest() {
        return highest.accepted;
    }

    /** The voters of that state. */
    List<String> voters() {
        return highest.voters;
    }

    /** The voters of the state that this replica had accepted. */
    List<String> votersOf(String replica) {
        return promises.get(replica).voters;
    }

    /** The replicas that had accepted that state. */
    Set<String> holdersOf(ProposalNumber accepted) {
        Set<String> holders = new HashSet<>();
        promises.forEach((replica, promise) -> {
            if (promise.accepted.equals(accepted)) {
                holders.add(replica);
            }
        });
        return holders;
    }

    /** The replicas that had accepted that state as voters, and not only learned it. */
    Set<String> voted(ProposalNumber accepted) {
        Set<String> voted = holdersOf(accepted);
        voted.removeIf(replica -> promises.get(replica).learnedSecondHand);
        return voted;
    }

    /** Whether a replica may hold that state: it has accepted it, or has not promised yet. */
    boolean mayHave(String replica, ProposalNumber accepted) {
        Promise promise = promises.get(replica);
        return promise == null || promise.accepted.equals(accepted);
    }
}
