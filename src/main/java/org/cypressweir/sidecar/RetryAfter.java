package org.cypressweir.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** The advice of a rejection when the client may come back: {@code Retry-After} (RFC 9110, 10.2.3). No state. */
final class RetryAfter {

    private static final int MICROS_PER_MILLI = 1000;
    private static final double MILLIS_PER_SECOND = 1000.0;

    private RetryAfter() {}

    /** A time up to the maximum as it is; a longer one becomes one of the upper half, so that times stay spread. */
    static long limit(long maxMicros, long micros) {
        return micros <= maxMicros ? micros : maxMicros / 2 + micros % (maxMicros / 2 + 1);
    }

    /** Headers of a rejection; 0 gives no advice. */
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
