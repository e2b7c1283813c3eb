package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.controlplane.configuration.Item;

/**
 * Reassembles accept messages that were sent in several chunks. For each sender, only chunks of the state with the
 * highest number are kept.
 */
final class ChunkAssembler {

    private static final int MAX_CHUNKS = 100_000;

    private static final class PartialState {
        final ProposalNumber number;
        final ProposalNumber base;
        final List<List<Item>> chunks = new ArrayList<>();
        int missing;

        PartialState(ProposalNumber number, ProposalNumber base, int count) {
            this.number = number;
            this.base = base;
            missing = count;
            for (int i = 0; i < count; i++) {
                chunks.add(null);
            }
        }

        boolean isSupersededBy(ProposalNumber otherNumber, ProposalNumber otherBase) {
            return otherNumber.above(number) || number.equals(otherNumber) && !Objects.equals(base, otherBase);
        }
    }

    private final Map<String, PartialState> bySender = new HashMap<>();

    /**
     * Adds a chunk. Returns all items if it was the last one missing, else null.
     *
     * @param base null for a full snapshot
     * @throws IllegalArgumentException if the index or the number of chunks is out of range
     */
    List<Item> take(
            String from, ProposalNumber number, ProposalNumber base, long chunk, long chunkCount, List<Item> items) {
        if (chunkCount < 1 || chunkCount > MAX_CHUNKS || chunk < 0 || chunk >= chunkCount) {
            throw new IllegalArgumentException("chunk " + chunk + " of " + chunkCount);
        }
        if (chunkCount == 1) {
            return items;
        }
        PartialState partial = bySender.get(from);
        if (partial == null || partial.isSupersededBy(number, base)) {
            partial = new PartialState(number, base, (int) chunkCount);
            bySender.put(from, partial);
        }
        if (!partial.number.equals(number)
                || partial.chunks.size() != chunkCount
                || partial.chunks.get((int) chunk) != null) {
            return null;
        }
        partial.chunks.set((int) chunk, items);
        if (--partial.missing > 0) {
            return null;
        }
        bySender.remove(from);
        List<Item> all = new ArrayList<>();
        partial.chunks.forEach(all::addAll);
        return all;
    }

    /** Forgets senders that are not live. */
    void prune(Collection<String> live) {
        bySender.keySet().retainAll(live);
    }
}
