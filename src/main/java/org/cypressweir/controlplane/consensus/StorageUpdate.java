package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;

/**
 * What one write changes on the disk, atomically.
 *
 * @param accepted the number of the accepted state; null if the state does not change
 * @param voters null if they do not change
 * @param items the items that change, or all items of a full snapshot
 * @param fullSnapshot whether the items replace all items on the disk
 * @param disk the number of the disk, set by its first write
 */
public record StorageUpdate(
        ProposalNumber promised,
        ProposalNumber accepted,
        List<String> voters,
        List<Item> items,
        boolean fullSnapshot,
        long disk) {

    /** The value of {@code disk} in an update that does not change the number of the disk. */
    private static final long UNCHANGED = -1;

    public StorageUpdate(
            ProposalNumber promised,
            ProposalNumber accepted,
            List<String> voters,
            List<Item> items,
            boolean fullSnapshot) {
        this(promised, accepted, voters, items, fullSnapshot, UNCHANGED);
    }

    public boolean setsDiskId() {
        return disk != UNCHANGED;
    }

    /** Whether the accepted state has a lower number than the promise, and so is not a vote. */
    public boolean learnedSecondHand() {
        return accepted != null && promised.above(accepted);
    }

    private List<Item> merged(List<Item> before) {
        Map<ItemKey, Item> changed = new HashMap<>();
        items.forEach(item -> changed.put(item.key(), item));
        List<Item> merged = new ArrayList<>(before.size());
        before.forEach(item -> merged.add(changed.containsKey(item.key()) ? changed.remove(item.key()) : item));
        return changed.isEmpty() ? merged : Configuration.of(before).with(items).items();
    }

    /** The state on the disk after this write; {@code before} is null for an empty disk. */
    public PersistentState appliedTo(PersistentState before) {
        PersistentState old = before != null
                ? before
                : new PersistentState(ProposalNumber.ZERO, ProposalNumber.ZERO, List.of(), List.of(), false);
        List<Item> all = fullSnapshot ? items : items.isEmpty() ? old.items() : merged(old.items());
        return new PersistentState(
                promised,
                accepted == null ? old.accepted() : accepted,
                voters == null ? old.voters() : voters,
                all,
                accepted == null ? old.learnedSecondHand() : learnedSecondHand(),
                setsDiskId() ? disk : old.disk());
    }
}
