package org.cypressweir.dataplane.http.server;

/**
 * Thrown when the received bytes are not an acceptable request. The client gets the status and the message, and the
 * connection is closed. It has no stack trace, since clients cause it.
 */
final class BadRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    BadRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    int status() {
        return status;
    }
}
