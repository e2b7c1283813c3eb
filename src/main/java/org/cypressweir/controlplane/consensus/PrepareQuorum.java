package org.cypressweir.controlplane.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Who has promised in a round, and what each had accepted before. */
final class PrepareQuorum {

    private record Promise(ProposalNumber accepted, List<String> crew, boolean hearsay) {}

    private final Map<String, Promise> all = new HashMap<>();
    private Promise highest;

    /** Takes a promise; of the same harbour the first counts. */
    void add(String from, ProposalNumber accepted, List<String> crew, boolean hearsay) {
        Promise promise = new Promise(accepted, crew, hearsay);
        if (all.putIfAbsent(from, promise) == null && (highest == null || accepted.above(highest.accepted))) {
            highest = promise;
        }
    }

    Set<String> from() {
        return all.keySet();
    }

    /** The highest state that one of them had accepted. */
    ProposalNumber top() {
        return highest.accepted;
    }

    /** The crew of that state. */
    List<String> crew() {
        return highest.crew;
    }

    List<String> crewOf(String harbour) {
        return all.get(harbour).crew;
    }

    /** Who has that state. */
    Set<String> having(ProposalNumber accepted) {
        Set<String> having = new HashSet<>();
        all.forEach((who, promise) -> {
            if (promise.accepted.equals(accepted)) {
                having.add(who);
            }
        });
        return having;
    }

    /** Who has voted for that state, and not only learnt it. */
    Set<String> voted(ProposalNumber accepted) {
        Set<String> voted = having(accepted);
        voted.removeIf(who -> all.get(who).hearsay);
        return voted;
    }

    /** Whether that harbour has that state, as far as is known. */
    boolean mayHave(String harbour, ProposalNumber accepted) {
        Promise promise = all.get(harbour);
        return promise == null || promise.accepted.equals(accepted);
    }
}
