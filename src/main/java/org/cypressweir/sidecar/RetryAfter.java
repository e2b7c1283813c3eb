package org.cypressweir.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The {@code Retry-After} header of a rejection (RFC 9110, 10.2.3), which tells the client when it may retry.
 * Stateless.
 */
final class RetryAfter {

    private static final int MICROS_PER_MILLI = 1000;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private RetryAfter() {}

    /**
     * Limits the time to the maximum. A longer time is mapped into the upper half of the range so that retries stay
     * spread out.
     */
    static long limit(long maxMicros, long micros) {
        return micros <= maxMicros ? micros : maxMicros / 2 + micros % (maxMicros / 2 + 1);
    }

    /** The headers of a rejection; for 0 without a retry time. */
    static HttpHeaders headers(long micros) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (micros > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.valueOf(Math.max(1, micros / MICROS_PER_MILLI) / MILLIS_PER_SECOND));
        }
        return headers;
    }
}
