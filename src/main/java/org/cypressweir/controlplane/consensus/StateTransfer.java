package org.cypressweir.controlplane.consensus;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;

/**
 * Fetches a state chunk by chunk: the difference from a state that is held here if the peer knows it, else a full
 * snapshot. Any holder can send any chunk of a snapshot, since equal proposal numbers mean equal states. The
 * result is compared with the peer's checksum over all items.
 */
final class StateTransfer {

    private static final int MAX_REQUESTS_PER_CHUNK = 6;
    private static final int MAX_RESTARTS = 4;

    private final ReplicaContext context;
    private final ProposalNumber number;
    private final List<String> holders;
    private final Map<ProposalNumber, ReplicatedState> heldStates = new LinkedHashMap<>();
    private final List<Item> items = new ArrayList<>();
    /** The state that the chunks are a difference from; null for a full snapshot. */
    private ProposalNumber base;

    private long nextChunk;
    private long requestedAt;
    private int holderIndex;
    private int requests;
    /**
     * Repeated in each chunk, to drop chunks of earlier requests: all chunks of a difference must come from one
     * holder, since another may have reached the state by other steps.
     */
    private long restarts;

    /** @param heldStates states that are held in full here */
    StateTransfer(
            ReplicaContext context, ProposalNumber number, Collection<String> holders, ReplicatedState... heldStates) {
        this.context = context;
        this.number = number;
        for (ReplicatedState state : heldStates) {
            this.heldStates.put(state.number(), state);
        }
        this.heldStates.remove(ProposalNumber.ZERO);
        this.holders = new ArrayList<>(holders);
        this.holders.remove(context.ownKey);
        this.holders.sort(null);
        if (!this.holders.isEmpty()) {
            holderIndex = (int) context.jitter(this.holders.size());
        }
        requestNextChunk();
    }

    ProposalNumber number() {
        return number;
    }

    /** Whether the transfer has failed: no holder is left, or there were too many requests or restarts. */
    boolean failed() {
        return holders.isEmpty() || requests > MAX_REQUESTS_PER_CHUNK || restarts > MAX_RESTARTS;
    }

    void tick() {
        if (context.now - requestedAt >= context.options.resendAfterMicros()) {
            askNextHolder();
        }
    }

    void onStateUnavailable(String from) {
        if (holders.remove(from)) {
            askNextHolder();
        }
    }

    /** Adds a chunk. Returns the state if it was the last one, else null. */
    ReplicatedState onStateChunk(ConsensusMessage.StateChunk chunk) {
        if (chunk.chunk() != nextChunk || chunk.base() != null && chunk.transfer() != restarts) {
            return null;
        }
        if (nextChunk == 0) {
            base = chunk.base();
        }
        ReplicatedState before = chunk.base() == null ? null : heldStates.get(chunk.base());
        if (!Objects.equals(chunk.base(), base) || before == null && chunk.base() != null) {
            restart();
            requestNextChunk();
            return null;
        }
        items.addAll(chunk.items());
        nextChunk++;
        requests = 0;
        if (nextChunk >= chunk.chunkCount()) {
            Configuration result = before == null
                    ? Configuration.of(items)
                    : before.configuration().with(items);
            if (result.checksum() == chunk.checksum()) {
                return new ReplicatedState(number, chunk.voters(), result);
            }
            // The difference was wrong: the next attempt fetches a full snapshot.
            heldStates.clear();
            restart();
        }
        requestNextChunk();
        return null;
    }

    private void askNextHolder() {
        holderIndex++;
        if (base != null) {
            restart();
        }
        requestNextChunk();
    }

    private void restart() {
        restarts++;
        nextChunk = 0;
        base = null;
        items.clear();
    }

    private void requestNextChunk() {
        requests++;
        requestedAt = context.now;
        if (failed()) {
            return;
        }
        boolean amidSnapshot = nextChunk > 0 && base == null;
        context.send(
                holders.get(holderIndex % holders.size()),
                new ConsensusMessage.FetchState(
                        number, restarts, nextChunk, amidSnapshot ? List.of() : List.copyOf(heldStates.keySet())));
    }
}
