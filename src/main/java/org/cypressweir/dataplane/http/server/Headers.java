package org.cypressweir.dataplane.http.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Lists of headers, in which names count in any case. */
public final class Headers {

    /** What speaks of one connection, or is set anew by each sender. */
    private static final String[] HOP = {
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

    /** What goes on to the next connection: neither hop-by-hop headers nor what Connection lists. */
    public static List<Map.Entry<String, String>> endToEnd(List<Map.Entry<String, String>> headers) {
        List<String> listed = List.of();
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase("Connection")) {
                listed = new ArrayList<>(listed);
                addTokens(header.getValue(), listed);
            }
        }
        List<Map.Entry<String, String>> kept = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            if (!isOneOf(header.getKey(), HOP) && !isOneOf(header.getKey(), listed)) {
                kept.add(header);
            }
        }
        return kept;
    }

    /** The value of the first of that name, or null. */
    public static String first(List<Map.Entry<String, String>> headers, String name) {
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /** All others. */
    public static List<Map.Entry<String, String>> without(List<Map.Entry<String, String>> headers, String... names) {
        List<Map.Entry<String, String>> kept = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            if (!isOneOf(header.getKey(), names)) {
                kept.add(header);
            }
        }
        return kept;
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
