package org.cypressweir.sidecar.simhost;

/** Thrown for input that violates the simulator's protocol; the message is printed to the user as one line. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
