package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Scans the bytes of a request's head as they are received, before Netty's decoder. It rejects heads that can be
 * interpreted in more than one way (request smuggling, RFC 9112 section 11.2), and extracts target, host and framing.
 * One instance scans one head; for the event loop only.
 */
final class RequestHeadScanner {

    /** The Content-Length of a request that has none. */
    static final long NO_LENGTH = -1;

    private static final int INCOMPLETE = -1;
    private static final int ASCII = 128;
    // Tables instead of methods: they are used for each byte, and the methods would be too large to be inlined.
    /** The characters of a token, RFC 9110 section 5.6.2. */
    private static final boolean[] TOKEN = characters("!#$%&'*+-.^_`|~");
    /** The characters of a host that is not an IP literal. */
    private static final boolean[] REGISTERED_NAME = characters("-._~");
    /** The characters of an IP literal between its brackets. */
    private static final boolean[] IP_LITERAL = characters(":.");

    /** More digits could overflow a long. */
    private static final int MAX_LENGTH_DIGITS = 18;

    private static final String HTTP_SCHEME = "http://";

    /** A table of the ASCII letters, the digits and these symbols. */
    private static boolean[] characters(String symbols) {
        boolean[] table = new boolean[ASCII];
        for (int c = 0; c < ASCII; c++) {
            table[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || symbols.indexOf(c) >= 0;
        }
        return table;
    }

    /** Bytes scanned, from the start of the head. */
    private int scanned;

    private int lineStart;
    private boolean afterCarriageReturn;
    private boolean http10;
    private String path;
    /** The authority of an absolute target, else null. */
    private String authority;

    private String hostHeader;
    private long contentLength = NO_LENGTH;
    private boolean chunked;
    private String expectation;

    /**
     * Scans the bytes that were not scanned yet; the start of the head must stay at the reader index.
     *
     * @return the size of the head once it is complete, or -1
     */
    int scan(ByteBuf in, int maxBytes) throws BadRequestException {
        int base = in.readerIndex();
        int size = in.readableBytes();
        while (scanned < size) {
            if (scanned >= maxBytes) {
                throw new BadRequestException(431, "the head is too large");
            }
            int b = in.getByte(base + scanned++);
            if (afterCarriageReturn) {
                require(b == '\n', "bare CR");
                afterCarriageReturn = false;
                if (endLine(in, base + lineStart, base + scanned - 2)) {
                    checkComplete();
                    return scanned;
                }
                lineStart = scanned;
            } else if (b == '\r') {
                afterCarriageReturn = true;
            } else if (b >= 0 && b < ' ' && b != '\t' || b == 0x7f) {
                throw new BadRequestException(400, b == '\n' ? "bare LF" : "control character");
            }
        }
        return INCOMPLETE;
    }

    /** Rejects bytes that are not lines ended by CR LF, and folded lines (RFC 9112 section 5.2). */
    static void checkLines(ByteBuf in, int from, int to) throws BadRequestException {
        byte previous = '\n';
        for (int i = from; i < to; i++) {
            byte b = in.getByte(i);
            require((b == '\n') == (previous == '\r'), "bad line end");
            require(previous != '\n' || b != ' ' && b != '\t', "folded line");
            boolean whitespace = b == '\t' || b == '\r' || b == '\n';
            require(whitespace || b < 0 || b >= ' ' && b != 0x7f, "control character");
            previous = b;
        }
    }

    /** Parses a line; returns whether the head ends with it. */
    private boolean endLine(ByteBuf in, int from, int to) throws BadRequestException {
        if (path == null) {
            parseRequestLine(in.toString(from, to - from, StandardCharsets.ISO_8859_1));
        } else if (from < to) {
            parseField(in, from, to);
        } else {
            return true;
        }
        return false;
    }

    /** RFC 9112 section 3; only single spaces are accepted as separators. */
    private void parseRequestLine(String line) throws BadRequestException {
        int firstBlank = line.indexOf(' ');
        int lastBlank = line.lastIndexOf(' ');
        require(firstBlank > 0 && lastBlank > firstBlank + 1, "bad request line");
        for (int i = 0; i < firstBlank; i++) {
            require(isToken(line.charAt(i)), "bad method");
        }
        String version = line.substring(lastBlank + 1);
        http10 = version.equals("HTTP/1.0");
        require(http10 || version.equals("HTTP/1.1"), "unknown version");
        String target = line.substring(firstBlank + 1, lastBlank);
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            require(c > ' ' && c < 0x7f && c != '#', "bad target");
        }
        if (target.startsWith("/")) {
            path = target;
        } else if (target.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
            parseAbsoluteTarget(target);
        } else {
            require(target.equals("*") && line.startsWith("OPTIONS "), "bad target");
            path = target;
        }
    }

    /** RFC 9112 section 3.2.2. */
    private void parseAbsoluteTarget(String target) throws BadRequestException {
        int end = HTTP_SCHEME.length();
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        authority = target.substring(HTTP_SCHEME.length(), end);
        require(parseHost(authority) != null, "bad target");
        String rest = target.substring(end);
        path = rest.startsWith("/") ? rest : "/" + rest;
    }

    /** RFC 9112 section 5.1: no white space before the colon. */
    private void parseField(ByteBuf in, int from, int to) throws BadRequestException {
        int colon = from;
        while (colon < to && in.getByte(colon) != ':') {
            require(isToken(in.getByte(colon++)), "bad header name");
        }
        require(colon > from && colon < to, "bad header");
        int nameLength = colon - from;
        // Strings are allocated only for names as long as Host, Expect, Content-Length or Transfer-Encoding.
        if (nameLength == 4 || nameLength == 6 || nameLength == 14 || nameLength == 17) {
            String text = in.toString(from, to - from, StandardCharsets.ISO_8859_1);
            recordField(text.substring(0, nameLength), trim(text, nameLength + 1));
        }
    }

    private void recordField(String name, String value) throws BadRequestException {
        if (name.equalsIgnoreCase("Host")) {
            require(hostHeader == null, "more than one Host");
            require(parseHost(value) != null, "bad Host");
            hostHeader = value;
        } else if (name.equalsIgnoreCase("Content-Length")) {
            require(contentLength < 0, "more than one Content-Length");
            contentLength = parseLength(value);
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            require(!chunked && value.equalsIgnoreCase("chunked"), "unknown Transfer-Encoding");
            chunked = true;
        } else if (name.equalsIgnoreCase("Expect")) {
            expectation = expectation == null ? value : expectation + "," + value;
        }
    }

    /** RFC 9112 sections 6.1 (both framings, or chunks in HTTP/1.0) and 3.2 (Host). */
    private void checkComplete() throws BadRequestException {
        require(!chunked || contentLength < 0 && !http10, "more than one framing");
        require(hostHeader != null || http10, "no Host");
    }

    private static long parseLength(String digits) throws BadRequestException {
        require(!digits.isEmpty(), "bad Content-Length");
        long value = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            require(c >= '0' && c <= '9' && i < MAX_LENGTH_DIGITS, "bad Content-Length");
            value = value * 10 + c - '0';
        }
        return value;
    }

    /** The host of an authority (RFC 3986 section 3.2) in lower case, or null if the authority is invalid. */
    private static String parseHost(String authority) {
        boolean literal = authority.startsWith("[");
        int end = hostEnd(authority, literal);
        if (end == 0 || literal && end < 4 || end < authority.length() && authority.charAt(end) != ':') {
            return null;
        }
        for (int i = end + 1; i < authority.length(); i++) {
            char c = authority.charAt(i);
            if (c < '0' || c > '9') {
                return null;
            }
        }
        boolean[] allowed = literal ? IP_LITERAL : REGISTERED_NAME;
        StringBuilder host = new StringBuilder(end);
        for (int i = 0; i < end; i++) {
            char c = authority.charAt(i);
            boolean bracket = literal && (i == 0 || i == end - 1);
            if (!bracket && (c >= ASCII || !allowed[c])) {
                return null;
            }
            host.append(c >= 'A' && c <= 'Z' ? (char) (c + 'a' - 'A') : c);
        }
        return host.toString();
    }

    private static int hostEnd(String authority, boolean literal) {
        int end = literal ? authority.indexOf(']') + 1 : authority.indexOf(':');
        return end < 0 ? authority.length() : end;
    }

    private static String trim(String text, int from) {
        int start = from;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    private static boolean isBlank(char c) {
        return c == ' ' || c == '\t';
    }

    private static boolean isToken(int c) {
        return c >= 0 && c < ASCII && TOKEN[c];
    }

    private static void require(boolean condition, String message) throws BadRequestException {
        if (!condition) {
            throw new BadRequestException(400, message);
        }
    }

    /** Path and query, or "*" for OPTIONS. */
    String uri() {
        return path;
    }

    /** The authority of an absolute target, which takes precedence over Host; null for other targets. */
    String authority() {
        return authority;
    }

    /** The host in lower case without the port, empty for HTTP/1.0 without one. */
    String host() {
        String source = authority != null ? authority : hostHeader;
        return source == null ? "" : parseHost(source);
    }

    boolean isHttp10() {
        return http10;
    }

    /** The Content-Length, or {@link #NO_LENGTH}. */
    long contentLength() {
        return contentLength;
    }

    boolean hasBody() {
        return chunked || contentLength > 0;
    }

    boolean isChunked() {
        return chunked;
    }

    /** The value of Expect, or null; ignored in HTTP/1.0, RFC 9110 section 10.1.1. */
    String expectation() {
        return http10 ? null : expectation;
    }
}
