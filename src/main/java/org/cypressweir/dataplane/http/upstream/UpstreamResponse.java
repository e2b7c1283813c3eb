package org.cypressweir.dataplane.http.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A whole, well-formed answer, whoever it is for. */
record UpstreamResponse(int status, List<Map.Entry<String, String>> headers, byte[] body, boolean keepAlive) {
    private static final String TIMEOUT = "timeout=";

    List<String> all(String name) {
        List<String> values = new ArrayList<>(1);
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().equalsIgnoreCase(name)) {
                values.add(header.getValue());
            }
        }
        return values;
    }

    boolean has(String name) {
        return !all(name).isEmpty();
    }

    /** After how many seconds of idleness the server says it closes, or what is assumed. */
    long idleSeconds(long assumed) {
        for (String value : all("Keep-Alive")) {
            for (String part : value.toLowerCase(Locale.ROOT).split("[,;]")) {
                String told = part.strip();
                if (told.startsWith(TIMEOUT)) {
                    return seconds(told.substring(TIMEOUT.length()).strip(), assumed);
                }
            }
        }
        return assumed;
    }

    private static long seconds(String text, long otherwise) {
        boolean digits = text.chars().allMatch(c -> c >= '0' && c <= '9');
        return digits && !text.isEmpty() && text.length() < 7 ? Long.parseLong(text) : otherwise;
    }
}
