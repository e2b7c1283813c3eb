package org.cypressweir.sidecar.route;

/** Thrown for a request target or host that is invalid or ambiguous; the message is one line for the 400 response. */
public final class InvalidTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidTargetException(String message) {
        super(message);
    }
}
