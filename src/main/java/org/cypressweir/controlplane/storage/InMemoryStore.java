package org.cypressweir.controlplane.storage;

import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/** Keeps nothing beyond this process. */
public final class InMemoryStore implements Store {

    private PersistentState standing;

    @Override
    public Optional<PersistentState> load() {
        return Optional.ofNullable(standing);
    }

    @Override
    public void write(StorageUpdate change) {
        standing = change.on(standing);
    }

    @Override
    public void close() {}
}
