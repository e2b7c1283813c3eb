package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.controlplane.configuration.Item;

/**
 * Puts together the chunks of an accept message that came in several. Of each sender only the state with the
 * highest number is kept.
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
     * All items once the last chunk is here, else null.
     *
     * @param base null for a full snapshot
     * @throws IllegalArgumentException if there is no such chunk
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

    /** Forgets senders that are gone. */
    void prune(Collection<String> live) {
        bySender.keySet().retainAll(live);
    }
}
