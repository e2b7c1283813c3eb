package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/**
 * Looks at the bytes of a request's head as they come, before any decoder. It refuses what has more than one
 * meaning, and it knows the target, the host and the framing of what it lets pass.
 */
final class RequestHeadScanner {

    private static final boolean[] TOKEN = new boolean[128];
    private static final int LONGEST_LENGTH = 18;

    static {
        String others = "!#$%&'*+-.^_`|~";
        for (int c = 0; c < TOKEN.length; c++) {
            TOKEN[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || others.indexOf(c) >= 0;
        }
    }

    /** Bytes looked at, from the start of the head. */
    private int scanned;

    private int lineStart;
    private boolean afterReturn;
    private boolean old;
    private String path;
    /** Of a target with scheme and host, else null. */
    private String authority;

    private String named;
    private long length = -1;
    private boolean chunked;
    private String expectation;

    /** The size of the head once it is whole, or -1; bytes that were looked at must not move. */
    int scan(ByteBuf in, int most) throws BadRequestException {
        int base = in.readerIndex();
        int size = in.readableBytes();
        while (scanned < size) {
            if (scanned >= most) {
                throw new BadRequestException(431, "the head is too large");
            }
            int b = in.getByte(base + scanned++);
            if (afterReturn) {
                require(b == '\n', "bare CR");
                afterReturn = false;
                if (lineEnds(in, base + lineStart, base + scanned - 2)) {
                    finish();
                    return scanned;
                }
                lineStart = scanned;
            } else if (b == '\r') {
                afterReturn = true;
            } else if (b >= 0 && b < ' ' && b != '\t' || b == 0x7f) {
                throw new BadRequestException(400, b == '\n' ? "bare LF" : "control character");
            }
        }
        return -1;
    }

    /** Refuses what is not whole lines, none of which goes on in the next. */
    static void checkLines(ByteBuf in, int from, int to) throws BadRequestException {
        byte before = '\n';
        for (int i = from; i < to; i++) {
            byte b = in.getByte(i);
            require((b == '\n') == (before == '\r'), "bad line end");
            require(before != '\n' || b != ' ' && b != '\t', "folded line");
            boolean blank = b == '\t' || b == '\r' || b == '\n';
            require(blank || b < 0 || b >= ' ' && b != 0x7f, "control character");
            before = b;
        }
    }

    /** Whether the head ends with this line. */
    private boolean lineEnds(ByteBuf in, int from, int to) throws BadRequestException {
        if (path == null) {
            requestLine(in.toString(from, to - from, StandardCharsets.ISO_8859_1));
        } else if (from < to) {
            field(in, from, to);
        } else {
            return true;
        }
        return false;
    }

    private void requestLine(String line) throws BadRequestException {
        int first = line.indexOf(' ');
        int last = line.lastIndexOf(' ');
        require(first > 0 && last > first + 1, "bad request line");
        for (int i = 0; i < first; i++) {
            require(isToken(line.charAt(i)), "bad method");
        }
        String version = line.substring(last + 1);
        old = version.equals("HTTP/1.0");
        require(old || version.equals("HTTP/1.1"), "unknown version");
        String target = line.substring(first + 1, last);
        for (int i = 0; i < target.length(); i++) {
            char c = target.charAt(i);
            require(c > ' ' && c < 0x7f && c != '#', "bad target");
        }
        if (target.startsWith("/")) {
            path = target;
        } else if (target.regionMatches(true, 0, "http://", 0, 7)) {
            absolute(target);
        } else {
            require(target.equals("*") && line.startsWith("OPTIONS "), "bad target");
            path = target;
        }
    }

    private void absolute(String target) throws BadRequestException {
        int end = 7;
        while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
            end++;
        }
        authority = target.substring(7, end);
        require(host(authority) != null, "bad target");
        String rest = target.substring(end);
        path = rest.startsWith("/") ? rest : "/" + rest;
    }

    private void field(ByteBuf in, int from, int to) throws BadRequestException {
        int colon = from;
        while (colon < to && in.getByte(colon) != ':') {
            require(isToken(in.getByte(colon++)), "bad header name");
        }
        require(colon > from && colon < to, "bad header");
        int name = colon - from;
        // Only the few that matter here are made strings.
        if (name == 4 || name == 6 || name == 14 || name == 17) {
            String text = in.toString(from, to - from, StandardCharsets.ISO_8859_1);
            framing(text.substring(0, name), trim(text, name + 1));
        }
    }

    private void framing(String name, String value) throws BadRequestException {
        if (name.equalsIgnoreCase("Host")) {
            require(named == null, "more than one Host");
            require(host(value) != null, "bad Host");
            named = value;
        } else if (name.equalsIgnoreCase("Content-Length")) {
            require(length < 0, "more than one Content-Length");
            length = number(value);
        } else if (name.equalsIgnoreCase("Transfer-Encoding")) {
            require(!chunked && value.equalsIgnoreCase("chunked"), "unknown Transfer-Encoding");
            chunked = true;
        } else if (name.equalsIgnoreCase("Expect")) {
            expectation = expectation == null ? value : expectation + "," + value;
        }
    }

    private void finish() throws BadRequestException {
        require(!chunked || length < 0 && !old, "more than one framing");
        require(named != null || old, "no Host");
    }

    private static long number(String digits) throws BadRequestException {
        require(!digits.isEmpty(), "bad Content-Length");
        long value = 0;
        for (int i = 0; i < digits.length(); i++) {
            char c = digits.charAt(i);
            require(c >= '0' && c <= '9' && i < LONGEST_LENGTH, "bad Content-Length");
            value = value * 10 + c - '0';
        }
        return value;
    }

    /** The host of an authority, in small letters, or null where it is none. */
    private static String host(String authority) {
        boolean literal = authority.startsWith("[");
        int end = literal ? authority.indexOf(']') + 1 : authority.indexOf(':');
        end = end < 0 ? authority.length() : end;
        if (end == 0 || literal && end < 4 || end < authority.length() && authority.charAt(end) != ':') {
            return null;
        }
        StringBuilder host = new StringBuilder(end);
        for (int i = 0; i < authority.length(); i++) {
            char c = authority.charAt(i);
            boolean digit = c >= '0' && c <= '9';
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
            boolean inside = literal
                    ? i == 0 || i == end - 1 || c == ':' || c == '.'
                    : c == '-' || c == '.' || c == '_' || c == '~';
            if (i < end ? !digit && !letter && !inside : i > end && !digit) {
                return null;
            }
            if (i < end) {
                host.append(c >= 'A' && c <= 'Z' ? (char) (c + 32) : c);
            }
        }
        return host.toString();
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
        return c >= 0 && c < TOKEN.length && TOKEN[c];
    }

    private static void require(boolean holds, String why) throws BadRequestException {
        if (!holds) {
            throw new BadRequestException(400, why);
        }
    }

    String uri() {
        return path;
    }

    /** What the target says of the host goes before what the header says; null where it says nothing. */
    String authority() {
        return authority;
    }

    String host() {
        String said = authority != null ? authority : named;
        return said == null ? "" : host(said);
    }

    boolean isOld() {
        return old;
    }

    /** What Content-Length says, or -1. */
    long length() {
        return length;
    }

    boolean hasBody() {
        return chunked || length > 0;
    }

    boolean isChunked() {
        return chunked;
    }

    /** What the client expects, or null; clients of HTTP/1.0 can't. */
    String expectation() {
        return old ? null : expectation;
    }
}
