package org.cypressweir.controlplane.configuration;

import java.util.Objects;

/**
 * Why a configuration change is not accepted. Two rejections with the same kind and reason are equal.
 *
 * @param reason in words, for the operator who submitted the change
 * @param cause the part of the change that the reason is about, for programs
 */
public record Rejection(RejectionKind kind, String reason, RejectionCause cause) {

    /** A rejection of the change as a whole. */
    public Rejection(RejectionKind kind, String reason) {
        this(kind, reason, RejectionCause.WHOLE_CHANGE);
    }

    static Rejection invalid(String reason) {
        return new Rejection(RejectionKind.INVALID, reason);
    }

    static Rejection invalid(String reason, RejectionCause cause) {
        return new Rejection(RejectionKind.INVALID, reason, cause);
    }

    static Rejection invalid(InvalidContentException e) {
        return new Rejection(RejectionKind.INVALID, e.getMessage(), e.rejectionCause());
    }

    static Rejection conflict(String reason, RejectionCause cause) {
        return new Rejection(RejectionKind.CONFLICT, reason, cause);
    }

    static Rejection versionTooOld(String reason, RejectionCause cause) {
        return new Rejection(RejectionKind.VERSION_TOO_OLD, reason, cause);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Rejection rejection && kind == rejection.kind && reason.equals(rejection.reason);
    }

    @Override
    public int hashCode() {
        return Objects.hash(kind, reason);
    }
}
