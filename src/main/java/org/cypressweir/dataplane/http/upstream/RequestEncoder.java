package org.cypressweir.dataplane.http.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Encodes a request as HTTP/1.1 (RFC 9112). It sets the headers for the remaining time and the framing of the body,
 * adds the attempt id if it is missing, and changes nothing else. Stateless.
 */
final class RequestEncoder {
    static final String ATTEMPT_ID = "Cypressweir-Attempt-Id";
    static final String TIME_REMAINING = "Cypressweir-Time-Remaining";
    /** Headers that are set here, or that describe the framing with which the body was received. */
    private static final Set<String> REPLACED_HEADERS =
            Set.of("content-length", "transfer-encoding", TIME_REMAINING.toLowerCase(Locale.ROOT));

    private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");
    /** Characters of a token besides letters and digits, RFC 9110 section 5.6.2. */
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

    private static final int INITIAL_HEAD_CAPACITY = 512;

    private RequestEncoder() {}

    /** The part of the request that cannot be encoded, null if there is none. */
    static String invalidPart(UpstreamRequest request) {
        if (!isToken(request.method())) {
            return "method";
        }
        if (request.uri().isEmpty() || !request.uri().chars().allMatch(c -> c > ' ' && c <= 0xff && c != 0x7f)) {
            return "uri";
        }
        int ids = 0;
        for (Map.Entry<String, String> header : request.headers()) {
            if (!isToken(header.getKey()) || !isFieldValue(header.getValue())) {
                return "header";
            }
            ids += header.getKey().equalsIgnoreCase(ATTEMPT_ID) ? 1 : 0;
        }
        return ids > 1 || !isFieldValue(request.id()) ? "attempt id" : null;
    }

    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.chars()
                        .allMatch(c -> c >= '0' && c <= '9'
                                || c >= 'a' && c <= 'z'
                                || c >= 'A' && c <= 'Z'
                                || TOKEN_SYMBOLS.indexOf(c) >= 0);
    }

    /** A field value of RFC 9110 section 5.5, without control characters but tabs. */
    private static boolean isFieldValue(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c <= 0xff && c != 0x7f || c == '\t');
    }

    /** The attempt id in the headers; the request's own id where they have none. */
    static String attemptId(UpstreamRequest request) {
        for (Map.Entry<String, String> header : request.headers()) {
            if (header.getKey().equalsIgnoreCase(ATTEMPT_ID)) {
                return header.getValue().strip();
            }
        }
        return request.id();
    }

    static ByteBuf encode(UpstreamRequest request, long now) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CAPACITY);
        head.append(request.method()).append(' ').append(request.uri()).append(" HTTP/1.1\r\n");
        appendHeaders(head, request);
        long remainingMillis = (request.deadlineMicros() - now - RequestScheduler.DEADLINE_MARGIN_MICROS) / 1000;
        appendHeader(head, TIME_REMAINING, Long.toString(Math.max(1, remainingMillis)));
        int length = request.body() == null ? 0 : request.body().length;
        if (length > 0 || METHODS_WITH_BODY.contains(request.method())) {
            appendHeader(head, "Content-Length", Integer.toString(length));
        }
        String text = head.append("\r\n").toString();
        ByteBuf bytes = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
        return length == 0 ? bytes : Unpooled.wrappedBuffer(bytes, Unpooled.wrappedBuffer(request.body()));
    }

    private static void appendHeaders(StringBuilder head, UpstreamRequest request) {
        boolean hasAttemptId = false;
        for (Map.Entry<String, String> header : request.headers()) {
            if (!REPLACED_HEADERS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                appendHeader(head, header.getKey(), header.getValue());
                hasAttemptId |= header.getKey().equalsIgnoreCase(ATTEMPT_ID);
            }
        }
        if (!hasAttemptId) {
            appendHeader(head, ATTEMPT_ID, request.id());
        }
    }

    private static void appendHeader(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
