package org.cypressweir.controlplane.storage;

import java.io.IOException;

/** The disk reads and yet does not hold what was written: it has lost or changed something. */
class CorruptStoreException extends IOException {

    private static final long serialVersionUID = 1;

    CorruptStoreException(String message, Throwable cause) {
        super(message, cause);
    }
}
