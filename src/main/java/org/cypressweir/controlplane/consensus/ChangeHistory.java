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
 * Records which keys changed from each state to the next, for as many of the latest steps as fit into a bounded
 * number of keys. A replica that holds an earlier state needs only the items of the keys that changed since:
 * equal proposal numbers mean equal states.
 */
final class ChangeHistory {

    private static final int MAX_KEYS = 8_192;

    /** An earlier state, and the items in which a later one differs from it. */
    record Difference(ProposalNumber from, List<Item> items) {}

    private record Step(ProposalNumber from, List<ItemKey> keys) {}

    /** By the number of the resulting state, oldest first. */
    private final Map<ProposalNumber, Step> steps = new LinkedHashMap<>();

    /** The number of keys in all steps, plus one for each step. */
    private int keys;

    /** Records that the state {@code to} differs from the state {@code from} in these items alone. */
    void recordStep(ProposalNumber from, ProposalNumber to, Collection<Item> changed) {
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

    /**
     * The difference from the newest of the held states to this one; null if it is not known, or spans more than
     * about half of the configuration.
     */
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
