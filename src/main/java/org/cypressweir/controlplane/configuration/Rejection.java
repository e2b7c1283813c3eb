package org.cypressweir.controlplane.configuration;

/** A configuration change that is not accepted, with a reason in words for the operator who submitted it. */
public record Rejection(RejectionKind kind, String reason) {

    static Rejection invalid(String reason) {
        return new Rejection(RejectionKind.INVALID, reason);
    }

    static Rejection conflict(String reason) {
        return new Rejection(RejectionKind.CONFLICT, reason);
    }

    static Rejection versionTooOld(String reason) {
        return new Rejection(RejectionKind.VERSION_TOO_OLD, reason);
    }
}
