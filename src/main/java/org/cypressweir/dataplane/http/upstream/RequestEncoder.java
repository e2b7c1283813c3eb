package org.cypressweir.dataplane.http.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Writes a request as bytes, unchanged but for the time that remains and the length of its body. */
final class RequestEncoder {
    static final String ATTEMPT_ID = "Cypressweir-Attempt-Id";
    static final String TIME_REMAINING = "Cypressweir-Time-Remaining";
    /** What is set here, or says how a body that has come whole was framed before. */
    private static final Set<String> OURS =
            Set.of("content-length", "transfer-encoding", TIME_REMAINING.toLowerCase(Locale.ROOT));

    private static final Set<String> WITH_BODY = Set.of("POST", "PUT", "PATCH");
    private static final String MARKS = "!#$%&'*+-.^_`|~";

    private RequestEncoder() {}

    /** Why it can't be sent as it is, null if it can. */
    static String fault(UpstreamRequest f) {
        if (!isToken(f.method())) {
            return "method";
        }
        if (f.uri().isEmpty() || !f.uri().chars().allMatch(c -> c > ' ' && c <= 0xff && c != 0x7f)) {
            return "uri";
        }
        int ids = 0;
        for (Map.Entry<String, String> header : f.headers()) {
            if (!isToken(header.getKey()) || !isValue(header.getValue())) {
                return "header";
            }
            ids += header.getKey().equalsIgnoreCase(ATTEMPT_ID) ? 1 : 0;
        }
        return ids > 1 || !isValue(f.id()) ? "attempt id" : null;
    }

    private static boolean isToken(String text) {
        return !text.isEmpty()
                && text.chars()
                        .allMatch(c -> c >= '0' && c <= '9'
                                || c >= 'a' && c <= 'z'
                                || c >= 'A' && c <= 'Z'
                                || MARKS.indexOf(c) >= 0);
    }

    private static boolean isValue(String text) {
        return text.chars().allMatch(c -> c >= ' ' && c <= 0xff && c != 0x7f || c == '\t');
    }

    /** The id that stands in the headers; without one the request's own. */
    static String attemptId(UpstreamRequest f) {
        for (Map.Entry<String, String> header : f.headers()) {
            if (header.getKey().equalsIgnoreCase(ATTEMPT_ID)) {
                return header.getValue().strip();
            }
        }
        return f.id();
    }

    static ByteBuf of(UpstreamRequest f, long now) {
        StringBuilder head = new StringBuilder(512);
        head.append(f.method()).append(' ').append(f.uri()).append(" HTTP/1.1\r\n");
        boolean told = false;
        for (Map.Entry<String, String> header : f.headers()) {
            if (!OURS.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                line(head, header.getKey(), header.getValue());
                told |= header.getKey().equalsIgnoreCase(ATTEMPT_ID);
            }
        }
        if (!told) {
            line(head, ATTEMPT_ID, f.id());
        }
        long left = (f.deadlineMicros() - now - RequestScheduler.MARGIN_MICROS) / 1000;
        line(head, TIME_REMAINING, Long.toString(Math.max(1, left)));
        int length = f.body() == null ? 0 : f.body().length;
        if (length > 0 || WITH_BODY.contains(f.method())) {
            line(head, "Content-Length", Integer.toString(length));
        }
        String text = head.append("\r\n").toString();
        ByteBuf bytes = Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1));
        return length == 0 ? bytes : Unpooled.wrappedBuffer(bytes, Unpooled.wrappedBuffer(f.body()));
    }

    private static void line(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
