package org.cypressweir.controlplane.consensus;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;

/**
 * Which keys changed from one state to the next, as far back as a bounded number of keys goes. Who holds a
 * state that another came from needs only the items of those keys: equal ballots are equal states.
 */
final class ChangeHistory {

    private static final int MOST_KEYS = 8_192;

    /** A state that another came from, and what differs between them. */
    record Difference(ProposalNumber from, List<Item> items) {}

    private record Step(ProposalNumber from, List<ItemKey> keys) {}

    /** By the state that came of it, oldest first. */
    private final Map<ProposalNumber, Step> steps = new LinkedHashMap<>();

    private int keys;

    /** The state came from that one by these items alone. */
    void step(ProposalNumber from, ProposalNumber to, Collection<Item> changed) {
        if (!to.above(from) || changed.size() > MOST_KEYS) {
            return;
        }
        forget(to);
        steps.put(to, new Step(from, changed.stream().map(Item::key).toList()));
        keys += 1 + changed.size();
        while (keys > MOST_KEYS) {
            forget(steps.keySet().iterator().next());
        }
    }

    private void forget(ProposalNumber to) {
        Step gone = steps.remove(to);
        keys -= gone == null ? 0 : 1 + gone.keys.size();
    }

    /** What brings a holder of one of those states to this one, from the newest of them; null if unknown. */
    Difference since(Collection<ProposalNumber> held, ReplicatedState state) {
        Set<ItemKey> changed = new LinkedHashSet<>();
        ProposalNumber at = state.stamp();
        while (!held.contains(at)) {
            Step step = steps.get(at);
            if (step == null || 2 * changed.size() > state.manifest().size()) {
                return null;
            }
            changed.addAll(step.keys);
            at = step.from;
        }
        return new Difference(at, changed.stream().map(state.manifest()::get).toList());
    }
}
