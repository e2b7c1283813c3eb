package org.cypressweir.dataplane.proxy;

import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.dataplane.http.server.ServerResponse;

/** Creates the proxy's own error responses, one for each kind of error. */
final class LocalResponses {

    private static final long MIN_RETRY_AFTER_MICROS = 1_000;

    private LocalResponses() {}

    /** @param retryAfterMicros after what time to retry; ignored for kinds of error without a Retry-After header */
    static ServerResponse of(ErrorKind error, long retryAfterMicros) {
        ServerResponse response = ServerResponse.text(error.status(), error.description());
        return error.hasRetryAfter() ? response.withHeader("Retry-After", seconds(retryAfterMicros)) : response;
    }

    static ServerResponse of(ErrorKind error) {
        return of(error, 0);
    }

    /** Formats a duration in seconds with three decimals. */
    private static String seconds(long micros) {
        long millis = Math.max(MIN_RETRY_AFTER_MICROS, micros) / 1000;
        String fraction = Long.toString(1000 + millis % 1000).substring(1);
        return millis / 1000 + "." + fraction;
    }
}
