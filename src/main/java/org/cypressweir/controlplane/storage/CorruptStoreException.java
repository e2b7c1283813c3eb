package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The disk can be read, but what it holds is not what was written: something is lost or changed. A disk that
 * fails reads or writes leads to a plain {@link IOException} instead, as that tells nothing about its content.
 */
class CorruptStoreException extends IOException {

    private static final long serialVersionUID = 1;

    /** @param cause what the reader of the file or environment reported, or null */
    CorruptStoreException(Path location, String problem, Throwable cause) {
        super(location + ": " + problem, cause);
    }
}
