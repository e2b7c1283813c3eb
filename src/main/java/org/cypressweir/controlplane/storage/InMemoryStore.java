package org.cypressweir.controlplane.storage;

import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * A store for tests and benchmarks that keeps the state on the heap. The state survives {@link #close}, but not
 * the object. Not thread-safe.
 */
public final class InMemoryStore implements Store {

    private PersistentState state;

    @Override
    public Optional<PersistentState> load() {
        return Optional.ofNullable(state);
    }

    @Override
    public void write(StorageUpdate update) {
        state = update.appliedTo(state);
    }

    @Override
    public void close() {}
}
