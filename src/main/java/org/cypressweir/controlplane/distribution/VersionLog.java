package org.cypressweir.controlplane.distribution;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.consensus.ProposalNumber;

/**
 * The newest committed configuration and a bounded log of the deltas that led to it. A subscriber at one of the
 * logged versions is sent the delta since; any other is sent a snapshot. A version is named by the proposal number
 * under which it was committed. Not thread-safe.
 */
public final class VersionLog {

    private static final int MAX_DELTAS = 64;

    private record Delta(ProposalNumber from, Collection<Item> changed) {}

    /**
     * What brings a subscriber to the newest version.
     *
     * @param snapshot whether the chunks hold all items; otherwise those changed since the subscriber's version
     * @param chunks as {@link ItemChunks} packs them
     */
    public record Update(boolean snapshot, List<byte[]> chunks) {}

    private ProposalNumber version = ProposalNumber.ZERO;
    private Configuration configuration = Configuration.EMPTY;
    private final ArrayDeque<Delta> deltas = new ArrayDeque<>();
    /** Packed once for all subscribers at the same version. */
    private final Map<ProposalNumber, Update> updates = new HashMap<>();

    /** Packed when a subscriber first needs it; null until then. */
    private Update snapshot;

    /** The proposal number of the newest configuration. */
    public ProposalNumber version() {
        return version;
    }

    /** The newest configuration. */
    public Configuration configuration() {
        return configuration;
    }

    /** Appends a committed configuration; one that is not newer is ignored. */
    public void append(ProposalNumber nextVersion, Configuration next) {
        if (nextVersion.compareTo(version) <= 0) {
            return;
        }
        deltas.addLast(new Delta(version, changedItems(next)));
        if (deltas.size() > MAX_DELTAS) {
            deltas.removeFirst();
        }
        version = nextVersion;
        configuration = next;
        updates.clear();
        snapshot = null;
    }

    private List<Item> changedItems(Configuration next) {
        List<Item> changed = new ArrayList<>();
        for (Item item : next.items()) {
            Item before = configuration.get(item.key());
            if (before == null || before.version() != item.version()) {
                changed.add(item);
            }
        }
        return changed;
    }

    /** The update for a subscriber at this version, packed for sending. */
    public Update updateSince(ProposalNumber from) {
        return updates.computeIfAbsent(from, this::pack);
    }

    private Update pack(ProposalNumber from) {
        Collection<Item> changed = changedSince(from);
        if (changed != null) {
            return new Update(false, ItemChunks.pack(List.copyOf(changed)));
        }
        if (snapshot == null) {
            snapshot = new Update(true, ItemChunks.pack(configuration.items()));
        }
        return snapshot;
    }

    /** The items that have changed since this version; null if it is not in the log and a snapshot is needed. */
    public Collection<Item> changedSince(ProposalNumber from) {
        if (from.equals(version)) {
            return List.of();
        }
        Map<ItemKey, Item> changed = null;
        for (Delta delta : deltas) {
            if (delta.from.equals(from)) {
                changed = new LinkedHashMap<>();
            }
            if (changed != null) {
                for (Item item : delta.changed) {
                    changed.put(item.key(), item);
                }
            }
        }
        return changed == null ? null : changed.values();
    }
}
