package org.cypressweir.sidecar.route;

/** A request's target or host that has no single meaning; the message is one line for the client's 400. */
public final class InvalidTargetException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidTargetException(String message) {
        super(message);
    }
}
