package org.cypressweir.dataplane.http.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** A complete, well-formed response, whichever request it belongs to. */
record UpstreamResponse(int status, List<Map.Entry<String, String>> headers, byte[] body, boolean keepAlive) {
    /** Parameter of the header Keep-Alive, RFC 2068 section 19.7.1.1. */
    private static final String TIMEOUT_PARAMETER = "timeout=";

    private static final int MAX_TIMEOUT_DIGITS = 6;

    /** The values of all headers of that name, in any case. */
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

    /** The idle time-out of the connection that the server announces, or the default. */
    long idleTimeoutSeconds(long defaultSeconds) {
        for (String value : all("Keep-Alive")) {
            for (String part : value.toLowerCase(Locale.ROOT).split("[,;]")) {
                String parameter = part.strip();
                if (parameter.startsWith(TIMEOUT_PARAMETER)) {
                    return parseSeconds(
                            parameter.substring(TIMEOUT_PARAMETER.length()).strip(), defaultSeconds);
                }
            }
        }
        return defaultSeconds;
    }

    private static long parseSeconds(String text, long defaultSeconds) {
        boolean digits = text.chars().allMatch(c -> c >= '0' && c <= '9');
        boolean valid = digits && !text.isEmpty() && text.length() <= MAX_TIMEOUT_DIGITS;
        return valid ? Long.parseLong(text) : defaultSeconds;
    }
}
