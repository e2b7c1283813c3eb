package org.cypressweir.sidecar.simhost;

/** Input that breaks the wire's rules; its message is the one line that the user sees. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
