package org.cypressweir.controlplane.configuration;

/**
 * A field of a configuration change is missing or wrong. The message begins with the field's path, as in
 * {@code routeTable.orders.timeout must be ...}; operators read it. Has no stack trace: the input is at fault.
 */
final class InvalidContentException extends Exception {

    private static final long serialVersionUID = 1;

    private final transient RejectionCause rejectionCause;

    InvalidContentException(String reason, RejectionCause rejectionCause) {
        super(reason, null, false, false);
        this.rejectionCause = rejectionCause;
    }

    /** The part of the change that the message is about. */
    RejectionCause rejectionCause() {
        return rejectionCause;
    }
}
