package org.cypressweir.sidecar;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Names of the protocol's headers, and the filter for headers that are not forwarded. */
final class Headers {

    static final String REQUEST_ID = "Request-Id";
    static final String TENANT = "Tenant";
    static final String TIMEOUT = "Request-Timeout-Ms";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    static final String RETRY = "Client-Retry";
    static final String HINT = "Work-Hint";
    static final String LOAD = "Server-Load";
    static final String NOT_STARTED = "Not-Started";

    private static final List<CharSequence> ONE_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.PROXY_AUTHENTICATE,
            HttpHeaderNames.PROXY_AUTHORIZATION,
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    private Headers() {}

    /** A copy without hop-by-hop headers. */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        HttpHeaders copy = new DefaultHttpHeaders().set(headers);
        ONE_HOP.forEach(copy::remove);
        return copy;
    }

    /** The single value of a header; null if it is absent or repeated. */
    static String single(HttpHeaders headers, String name) {
        List<String> values = headers.getAll(name);
        return values.size() == 1 ? values.get(0).trim() : null;
    }
}
