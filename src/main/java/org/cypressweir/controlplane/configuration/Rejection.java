package org.cypressweir.controlplane.configuration;

/** An order that is not taken, with a reason for whoever sent it. */
public record Rejection(RejectionKind kind, String reason) {

    static Rejection invalid(String reason) {
        return new Rejection(RejectionKind.INVALID, reason);
    }

    static Rejection conflict(String reason) {
        return new Rejection(RejectionKind.CONFLICT, reason);
    }

    static Rejection forgotten(String reason) {
        return new Rejection(RejectionKind.FORGOTTEN, reason);
    }
}
