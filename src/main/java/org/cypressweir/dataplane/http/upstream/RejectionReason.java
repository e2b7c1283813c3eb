package org.cypressweir.dataplane.http.upstream;

/** Why a request was not executed. Proxies send each other the names of the constants, which are therefore fixed. */
public enum RejectionReason {
    /** The server is overloaded, or the request is expected to miss its latency target. */
    FULL,
    /** Too little time is left until its deadline. */
    LATE,
    /** The instance it was meant for is no longer there. */
    GONE,
    /** The server says that it is not responsible for the request (status 421). */
    MISDIRECTED,
    /** No connection was made, or it ended before a byte was sent. */
    NO_CONNECTION,
    /** It was cancelled before it was sent. */
    CANCELLED,
    /** It cannot be sent as HTTP, or the server refused to execute it. */
    REFUSED
}
