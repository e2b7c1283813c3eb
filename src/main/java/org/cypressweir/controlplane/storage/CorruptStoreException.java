package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown where the files of a store can be read, but data in them is missing or has changed. A failed read or
 * write is a plain {@link IOException} instead, as it says nothing about the content of the disk.
 */
class CorruptStoreException extends IOException {

    private static final long serialVersionUID = 1;

    /** @param cause what the reader of the file or environment reported, or null */
    CorruptStoreException(Path location, String problem, Throwable cause) {
        super(location + ": " + problem, cause);
    }
}
