package org.cypressweir.sidecar.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Locale;

/**
 * A request target in normal form (RFC 3986, section 6.2.2; RFC 9112, section 3.2). The same form is matched against
 * routes and forwarded, so that no spelling of a path can reach a server under another route than the matched one.
 *
 * <p>Percent-encoded unreserved characters are decoded, other escapes get upper-case digits, {@code .} and {@code ..}
 * are resolved, and consecutive slashes are merged. Targets that servers interpret differently have no normal form
 * and are rejected: an escaped slash, backslash or NUL, and a path that leads above its root.
 *
 * @param host the host of an absolute-form target, which overrides the {@code Host} field; otherwise null
 * @param path the path in normal form, which begins with a slash
 * @param query from the question mark on, unchanged; empty if there is none
 */
public record RequestTarget(String host, String path, String query) {

    /** The target in origin form, as forwarded to a server. */
    public String text() {
        return path + query;
    }

    /**
     * Parses the target of a request line.
     *
     * @throws InvalidTargetException if it is neither in origin form nor in absolute form, or has no normal form
     */
    public static RequestTarget parse(String target) throws InvalidTargetException {
        if (target.indexOf('#') >= 0) {
            throw new InvalidTargetException("the target has a fragment");
        }
        String host = null;
        String rest = target;
        if (!target.startsWith("/")) {
            int scheme = target.indexOf("://");
            String name = scheme < 0 ? "" : target.substring(0, scheme).toLowerCase(Locale.ROOT);
            if (!name.equals("http") && !name.equals("https")) {
                throw new InvalidTargetException("the target is neither a path nor an http URI");
            }
            rest = target.substring(scheme + 3);
            int end = indexOfEither(rest, '/', '?');
            host = HostName.normalize(rest.substring(0, end));
            if (host.isEmpty()) {
                throw new InvalidTargetException("the target has no host");
            }
            rest = rest.substring(end);
            rest = rest.startsWith("/") ? rest : "/" + rest;
        }
        int query = indexOfEither(rest, '?', '?');
        return new RequestTarget(host, normalPath(rest.substring(0, query)), rest.substring(query));
    }

    private static int indexOfEither(String text, char one, char other) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) == one || text.charAt(i) == other) {
                return i;
            }
        }
        return text.length();
    }

    /** The normal form of a path that begins with a slash. */
    static String normalPath(String path) throws InvalidTargetException {
        if (isNormal(path)) {
            return path;
        }
        return removeDotSegments(decodeUnreserved(path));
    }

    /** Whether the path is already in normal form, as most are. */
    private static boolean isNormal(String path) {
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            boolean needsNormalization = c == '%'
                    || c == '\\'
                    || c <= ' '
                    || c >= 127
                    || i > 0 && path.charAt(i - 1) == '/' && (c == '/' || c == '.');
            if (needsNormalization) {
                return false;
            }
        }
        return true;
    }

    private static String decodeUnreserved(String path) throws InvalidTargetException {
        StringBuilder decoded = new StringBuilder(path.length());
        for (int i = 0; i < path.length(); i++) {
            char c = path.charAt(i);
            if (c != '%') {
                if (c == '\\' || c <= ' ' || c >= 127) {
                    throw new InvalidTargetException("the path has a character that must be escaped");
                }
                decoded.append(c);
                continue;
            }
            int high = i + 2 < path.length() ? Character.digit(path.charAt(i + 1), 16) : -1;
            int low = i + 2 < path.length() ? Character.digit(path.charAt(i + 2), 16) : -1;
            if (high < 0 || low < 0) {
                throw new InvalidTargetException("the path has a broken escape");
            }
            int code = high * 16 + low;
            if (code == '/' || code == '\\' || code == 0) {
                throw new InvalidTargetException("the path has an escaped slash, backslash or NUL");
            }
            if (isUnreserved(code)) {
                decoded.append((char) code);
            } else {
                decoded.append(path.substring(i, i + 3).toUpperCase(Locale.ROOT));
            }
            i += 2;
        }
        return decoded.toString();
    }

    private static boolean isUnreserved(int c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || c == '-'
                || c == '.'
                || c == '_'
                || c == '~';
    }

    /** Resolves dot segments and merges slashes; a directory keeps its trailing slash. */
    private static String removeDotSegments(String path) throws InvalidTargetException {
        Deque<String> resolved = new ArrayDeque<>();
        String last = "";
        for (String segment : path.split("/", -1)) {
            last = segment;
            if (segment.equals("..")) {
                if (resolved.pollLast() == null) {
                    throw new InvalidTargetException("the path climbs above its root");
                }
            } else if (!segment.isEmpty() && !segment.equals(".")) {
                resolved.addLast(segment);
            }
        }
        StringBuilder normal = new StringBuilder(path.length());
        for (Iterator<String> segments = resolved.iterator(); segments.hasNext(); ) {
            normal.append('/').append(segments.next());
        }
        boolean directory = last.isEmpty() || last.equals(".") || last.equals("..");
        return directory || normal.length() == 0 ? normal.append('/').toString() : normal.toString();
    }
}
