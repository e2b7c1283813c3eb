package org.cypressweir.common.transport;

import java.util.Locale;

/**
 * The closed list of errors that the mesh itself answers with, each with its HTTP status. The names of the
 * constants leave the process (error bodies, counters in the state), so they are fixed. Immutable.
 */
public enum ErrorKind {
    /** No route of the configuration matches the request. */
    NO_ROUTE(404, false),
    /** The tenant key is unknown, or missing where one is required. */
    NO_KEY(401, false),
    /** The tenant's rate limit is exceeded. */
    OVER_QUOTA(429, true),
    /** No instance has capacity in time; the request has not been executed. */
    NO_ROOM(503, true),
    /** There is no configuration or no instance yet; the request has not been executed. */
    NOT_READY(503, true),
    /** The response was lost; the request may have been executed. */
    BROKEN(502, false),
    /** The deadline passed; the request may have been executed. */
    TIMED_OUT(504, false),
    /** The received bytes are not a valid request of the protocol. */
    MALFORMED(400, false),
    /** The configuration fails validation. */
    INVALID(400, false),
    /** The version exists already with other content. */
    CONFLICT(409, false),
    /** No quorum of replicas answers; a submitted change may or may not be committed later. */
    UNAVAILABLE(503, true),
    /** There is no such API call. */
    NO_CALL(404, false),
    /** The API call exists, but not with this method. */
    NO_METHOD(405, false);

    private final int status;
    private final boolean retryAfter;

    ErrorKind(int status, boolean retryAfter) {
        this.status = status;
        this.retryAfter = retryAfter;
    }

    /** The HTTP status of the response. */
    public int status() {
        return status;
    }

    /** The name in lower case with spaces, as response bodies show it to people. */
    public String description() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Whether the response carries a {@code Retry-After} header. */
    public boolean hasRetryAfter() {
        return retryAfter;
    }
}
