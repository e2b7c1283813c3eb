package org.cypressweir.sidecar;

import java.io.IOException;

/** Thrown when an operators' file is rejected; the message has a line for each reason. */
final class OperatorFileRejectedException extends IOException {
    private static final long serialVersionUID = 1L;

    OperatorFileRejectedException(Exception cause) {
        super(cause.getMessage(), cause);
    }
}
