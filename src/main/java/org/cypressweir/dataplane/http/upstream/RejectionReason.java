package org.cypressweir.dataplane.http.upstream;

/** Why a request was not run. */
public enum RejectionReason {
    FULL,
    LATE,
    GONE,
    MISDIRECTED,
    NO_CONNECTION,
    CANCELLED,
    REFUSED
}
