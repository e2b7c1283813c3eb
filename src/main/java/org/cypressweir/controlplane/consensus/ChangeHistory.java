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
 * Which keys changed from one state to the next, as far back as a bounded number of keys goes. A replica
 * that holds a state which another came from needs only the items of those keys: equal proposal numbers are
 * equal states.
 */
final class ChangeHistory {

    private static final int MAX_KEYS = 8_192;

    /** A state that another came from, and what differs between them. */
    record Difference(ProposalNumber from, List<Item> items) {}

    private record Step(ProposalNumber from, List<ItemKey> keys) {}

    /** By the state that came of it, oldest first. */
    private final Map<ProposalNumber, Step> steps = new LinkedHashMap<>();

    /** How many keys the steps hold, each step counted as one more. */
    private int keys;

    /** The state {@code to} came from the state {@code from} by these items alone. */
    void step(ProposalNumber from, ProposalNumber to, Collection<Item> changed) {
        if (!to.above(from) || changed.size() > MAX_KEYS) {
            return;
        }
        forget(to);
        steps.put(to, new Step(from, changed.stream().map(Item::key).toList()));
        keys += 1 + changed.size();
        while (keys > MAX_KEYS) {
            forget(steps.keySet().iterator().next());
        }
    }

    private void forget(ProposalNumber to) {
        Step removed = steps.remove(to);
        keys -= removed == null ? 0 : 1 + removed.keys.size();
    }

    /** What brings a holder of one of those states to this one, from the newest of them; null if unknown. */
    Difference since(Collection<ProposalNumber> heldStates, ReplicatedState state) {
        Set<ItemKey> changed = new LinkedHashSet<>();
        ProposalNumber at = state.number();
        while (!heldStates.contains(at)) {
            Step step = steps.get(at);
            if (step == null || 2 * changed.size() > state.configuration().size()) {
                return null;
            }
            changed.addAll(step.keys);
            at = step.from;
        }
        return new Difference(
                at, changed.stream().map(state.configuration()::get).toList());
    }
}
