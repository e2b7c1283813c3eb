package org.cypressweir.controlplane.storage;

/** What was read is not what was written: the last write is torn, or the disk has lost something. */
final class TornWriteException extends CorruptStoreException {

    private static final long serialVersionUID = 1;

    TornWriteException(String message, Throwable cause) {
        super(message, cause);
    }
}
