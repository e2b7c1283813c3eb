package org.cypressweir.controlplane.consensus;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Item;

/**
 * A cache of states that peers may fetch in chunks. A state that was announced or fetched is kept for a time, so
 * that a transfer can finish while newer states are accepted. Successive states share most of their items in
 * memory.
 */
final class SnapshotCache {

    private static final int MAX_STATES = 64;
    private static final int MIN_STATES = 8;
    private static final long RETENTION_MICROS = 3_000_000;

    private static final class CachedState {
        final ReplicatedState state;
        /** The items of the state, listed at first use; null before. */
        List<Item> items;

        long usedAt;

        CachedState(ReplicatedState state) {
            this.state = state;
        }

        List<Item> items() {
            if (items == null) {
                items = state.configuration().items();
            }
            return items;
        }
    }

    private final ReplicaContext context;
    /** In the order of last access. */
    private final Map<ProposalNumber, CachedState> cached = new LinkedHashMap<>(16, 0.75f, true);

    SnapshotCache(ReplicaContext context) {
        this.context = context;
    }

    void keep(ReplicatedState state) {
        cached.computeIfAbsent(state.number(), number -> new CachedState(state)).usedAt = context.now;
        Iterator<CachedState> oldest = cached.values().iterator();
        while (cached.size() > MIN_STATES) {
            boolean recent = context.now - oldest.next().usedAt < RETENTION_MICROS;
            if (recent && cached.size() <= MAX_STATES) {
                return;
            }
            oldest.remove();
        }
    }

    void onFetchState(String from, ConsensusMessage.FetchState request) {
        CachedState found = cached.get(request.number());
        if (found == null) {
            context.send(from, new ConsensusMessage.StateUnavailable(request.number()));
            return;
        }
        found.usedAt = context.now;
        ChangeHistory.Difference difference = context.history.since(request.heldStates(), found.state);
        List<Item> items = difference == null ? found.items() : difference.items();
        int chunkSize = context.options.itemsPerChunk();
        int chunkCount = chunkCount(items.size(), chunkSize);
        if (request.chunk() < 0 || request.chunk() >= chunkCount) {
            return;
        }
        context.send(
                from,
                new ConsensusMessage.StateChunk(
                        request.number(),
                        request.transfer(),
                        difference == null ? null : difference.from(),
                        found.state.configuration().checksum(),
                        request.chunk(),
                        chunkCount,
                        found.state.voters(),
                        chunk(items, (int) request.chunk(), chunkSize)));
    }

    static int chunkCount(int itemCount, int chunkSize) {
        return Math.max(1, (itemCount + chunkSize - 1) / chunkSize);
    }

    static List<Item> chunk(List<Item> items, int chunk, int chunkSize) {
        int from = Math.min(items.size(), chunk * chunkSize);
        int to = Math.min(items.size(), (chunk + 1) * chunkSize);
        return items.subList(from, to);
    }
}
