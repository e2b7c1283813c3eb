package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;

/**
 * What one write changes on the disk, as a whole or not at all. Accepted and crew are null where they stay;
 * whole tells that the items replace all that are there. The number of the disk is set by its first write.
 */
public record StorageUpdate(
        ProposalNumber promised,
        ProposalNumber accepted,
        List<String> crew,
        List<Item> items,
        boolean whole,
        long disk) {

    /** The number of the disk stays. */
    private static final long SAME = -1;

    public StorageUpdate(
            ProposalNumber promised, ProposalNumber accepted, List<String> crew, List<Item> items, boolean whole) {
        this(promised, accepted, crew, items, whole, SAME);
    }

    public boolean setsDisk() {
        return disk != SAME;
    }

    /** Whether the accepted state is below the promise, and so no vote. */
    public boolean hearsay() {
        return accepted != null && promised.above(accepted);
    }

    private List<Item> merged(List<Item> before) {
        Map<ItemKey, Item> changed = new HashMap<>();
        items.forEach(item -> changed.put(item.key(), item));
        List<Item> merged = new ArrayList<>(before.size());
        before.forEach(item -> merged.add(changed.containsKey(item.key()) ? changed.remove(item.key()) : item));
        return changed.isEmpty() ? merged : Configuration.of(before).with(items).items();
    }

    /** What stands after it. Before is null on an empty disk. */
    public PersistentState on(PersistentState before) {
        PersistentState old = before != null
                ? before
                : new PersistentState(ProposalNumber.ZERO, ProposalNumber.ZERO, List.of(), List.of(), false);
        List<Item> all = whole ? items : items.isEmpty() ? old.items() : merged(old.items());
        return new PersistentState(
                promised,
                accepted == null ? old.accepted() : accepted,
                crew == null ? old.crew() : crew,
                all,
                accepted == null ? old.hearsay() : hearsay(),
                setsDisk() ? disk : old.disk());
    }
}
