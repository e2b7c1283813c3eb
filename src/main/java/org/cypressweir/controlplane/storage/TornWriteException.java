package org.cypressweir.controlplane.storage;

import java.nio.file.Path;

/**
 * An environment opens, but its content does not match the checksum of its last write: that write is only
 * partly there, or the disk has lost something older. Only the first can be repaired by removing the write.
 */
final class TornWriteException extends CorruptStoreException {

    private static final long serialVersionUID = 1;

    TornWriteException(Path location, Throwable cause) {
        super(location, "content does not match the last write: " + cause.getMessage(), cause);
    }
}
