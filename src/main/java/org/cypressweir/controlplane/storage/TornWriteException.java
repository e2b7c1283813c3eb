package org.cypressweir.controlplane.storage;

import java.nio.file.Path;

/**
 * Thrown where an environment can be opened, but its content does not match the checksum of its last write: either
 * that write is incomplete, or older data is lost. Only an incomplete write can be repaired, by removing it.
 */
final class TornWriteException extends CorruptStoreException {

    private static final long serialVersionUID = 1;

    TornWriteException(Path location, Throwable cause) {
        super(location, "content does not match the last write: " + cause.getMessage(), cause);
    }
}
