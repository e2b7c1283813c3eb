package larkbank.quay;

/** Why a request was not run. */
public enum Reason {
    FULL,
    LATE,
    GONE,
    MISDIRECTED,
    NO_CONNECTION,
    CANCELLED,
    REFUSED
}
