package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * The durable state of one replica. A store can still be used after a failed write: the next one may succeed.
 * Not thread-safe.
 */
public interface Store extends AutoCloseable {

    /** The stored state; empty if nothing was ever written. */
    Optional<PersistentState> load() throws IOException;

    /** Writes an update atomically, and returns once it would survive a loss of power. */
    void write(StorageUpdate update) throws IOException;

    @Override
    void close() throws IOException;
}
