package org.cypressweir.controlplane.consensus;

import java.util.List;
import java.util.Optional;

/** A phase of a {@link ProposalRound}. It ignores events that it does not wait for. */
interface RoundPhase {

    /** Whether the phase waits for this replica's own disk, and so has no deadline. */
    default boolean waitsForDisk() {
        return false;
    }

    /** The voters of which a majority has to answer; empty if the phase needs no majority. */
    default Optional<List<String>> requiredVoters() {
        return Optional.empty();
    }

    default void onAccepted(String from) {}

    default void onBaseMismatch(String from) {}

    default void onStateChunk(ConsensusMessage.StateChunk chunk) {}

    default void onStateUnavailable(String from, ConsensusMessage.StateUnavailable unavailable) {}

    default void tick() {}
}
