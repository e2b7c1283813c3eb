package org.cypressweir.dataplane.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Operations on lists of headers. Names are compared case-insensitively, RFC 9110 section 5.1. Stateless. */
public final class Headers {

    /** Headers that apply to one connection only (RFC 9110 section 7.6.1), or that each sender sets itself. */
    private static final String[] HOP_BY_HOP = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect"
    };

    private Headers() {}

    /** The headers that are forwarded: neither hop-by-hop ones nor those that Connection lists. */
    public static List<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> headers) {
        List<String> connectionOptions = List.of();
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("Connection")) {
                connectionOptions = new ArrayList<>(connectionOptions);
                addTokens(header.getValue(), connectionOptions);
            }
        }
        List<Map.Entry<String, String>> forwarded = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            if (!isOneOf(header.getKey(), HOP_BY_HOP) && !isOneOf(header.getKey(), connectionOptions)) {
                forwarded.add(header);
            }
        }
        return forwarded;
    }

    /** The value of the first header of that name, or null. */
    public static String first(List<Map.Entry<String, String>> headers, String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /** The headers except those with these names. */
    public static List<Map.Entry<String, String>> without(List<Map.Entry<String, String>> headers, String... names) {
        List<Map.Entry<String, String>> others = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            if (!isOneOf(header.getKey(), names)) {
                others.add(header);
            }
        }
        return others;
    }

    private static void addTokens(String value, List<String> tokens) {
        int start = 0;
        while (start <= value.length()) {
            int comma = value.indexOf(',', start);
            int end = comma < 0 ? value.length() : comma;
            tokens.add(value.substring(start, end).trim());
            start = end + 1;
        }
    }

    private static boolean isOneOf(String name, String[] names) {
        for (String other : names) {
            if (name.equalsIgnoreCase(other)) {
                return true;
            }
        }
        return false;
    }

    private static boolean isOneOf(String name, List<String> names) {
        for (String other : names) {
            if (name.equalsIgnoreCase(other)) {
                return true;
            }
        }
        return false;
    }
}
