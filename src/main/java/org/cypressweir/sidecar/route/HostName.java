package org.cypressweir.sidecar.route;

import java.util.List;
import java.util.Locale;

/**
 * The normal form of a host: lower case, without port and trailing dot (RFC 9110, section 4.2.3; RFC 3986, section
 * 3.2.2).
 */
public final class HostName {

    private static final int MAX_LENGTH = 253;

    private HostName() {}

    /**
     * Returns the host in a request's {@code Host} field; an empty string if there is none, which only HTTP/1.0 allows.
     *
     * @param fields the values of all {@code Host} fields of the request
     * @param required whether a {@code Host} field is mandatory (RFC 9112, section 3.2)
     * @throws InvalidTargetException if the field is missing, duplicated, or not a valid host
     */
    public static String of(List<String> fields, boolean required) throws InvalidTargetException {
        if (fields.size() > 1) {
            throw new InvalidTargetException("more than one Host");
        }
        if (fields.isEmpty()) {
            if (required) {
                throw new InvalidTargetException("no Host");
            }
            return "";
        }
        return normalize(fields.get(0).trim());
    }

    /** The normal form of {@code host} or {@code host:port}; an empty string stays empty. */
    public static String normalize(String authority) throws InvalidTargetException {
        if (authority.isEmpty()) {
            return "";
        }
        int close = authority.startsWith("[") ? authority.indexOf(']') : -1;
        int colon = authority.indexOf(':', Math.max(0, close));
        String host = colon < 0 ? authority : authority.substring(0, colon);
        if (colon >= 0 && !isPort(authority.substring(colon + 1))) {
            throw new InvalidTargetException("the Host has a bad port");
        }
        if (host.endsWith(".")) {
            host = host.substring(0, host.length() - 1);
        }
        if (!isHost(host, close >= 0)) {
            throw new InvalidTargetException("the Host is no host");
        }
        return host.toLowerCase(Locale.ROOT);
    }

    private static boolean isPort(String text) {
        if (text.length() > 5 || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return false;
        }
        return text.isEmpty() || Integer.parseInt(text) <= 65_535;
    }

    private static boolean isHost(String host, boolean ipLiteral) {
        if (host.isEmpty() || host.length() > MAX_LENGTH || host.startsWith(".") || host.contains("..")) {
            return false;
        }
        if (ipLiteral) {
            return host.length() > 2
                    && host.endsWith("]")
                    && host.substring(1, host.length() - 1)
                            .chars()
                            .allMatch(c -> Character.digit(c, 16) >= 0 && c < 128 || c == ':' || c == '.');
        }
        return host.chars()
                .allMatch(c -> c >= 'a' && c <= 'z'
                        || c >= 'A' && c <= 'Z'
                        || c >= '0' && c <= '9'
                        || c == '-'
                        || c == '.'
                        || c == '_');
    }
}
