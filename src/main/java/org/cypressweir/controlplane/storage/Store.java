package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * The durable state of one replica. Not thread-safe: used by one thread. After a write that failed the next
 * one may succeed.
 */
public interface Store extends AutoCloseable {

    /** The stored state, or nothing where nothing was ever written. */
    Optional<PersistentState> load() throws IOException;

    /** Writes an update atomically, and returns once it would survive a loss of power. */
    void write(StorageUpdate update) throws IOException;

    @Override
    void close() throws IOException;
}
