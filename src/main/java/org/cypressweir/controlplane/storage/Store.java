package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/** Where a copy is kept. Used by one thread. After a write that failed the next may succeed. */
public interface Store extends AutoCloseable {

    /** What stands, or nothing where nothing was ever written. */
    Optional<PersistentState> load() throws IOException;

    /** Writes a change as a whole or not at all, and returns once it would outlast a loss of power. */
    void write(StorageUpdate change) throws IOException;

    @Override
    void close() throws IOException;
}
