package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;

/** Reads a server's load reports, from a JSON object or a response header, with the field names of the settings. */
public final class LoadReports {

    private static final String PREFIX = "TEXT ";

    private static final double MAX_VALUE = 1e6;

    private LoadReports() {}

    /** Reads a report from an object; missing fields are NaN. */
    public static LoadReport of(Map<?, ?> m) {
        return new LoadReport(
                numberOrNaN(m, "active"),
                numberOrNaN(m, "waiting"),
                numberOrNaN(m, "cpu"),
                numberOrNaN(m, "avg_ms"),
                numberOrNaN(m, "rps"),
                numberOrNaN(m, "err_rps"));
    }

    private static double numberOrNaN(Map<?, ?> m, String name) {
        return Json.doubleValue(m, name, Double.NaN);
    }

    /** Reads the first of the headers that holds a valid report; null if none does. */
    public static LoadReport parse(List<String> headers) {
        return headers.stream()
                .map(LoadReports::parse)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /**
     * Reads a report such as {@code TEXT cpu=0.61, rps=140}; null if there is none. A server may be of another
     * version or faulty, so fields that are unknown, no numbers, below 0 or above 10^6 are ignored: one of them would
     * distort a mean for long.
     */
    public static LoadReport parse(String header) {
        if (header == null || !header.startsWith(PREFIX)) {
            return null;
        }
        Map<String, Double> fields = new HashMap<>();
        for (String field : header.substring(PREFIX.length()).split(",")) {
            int equals = field.indexOf('=');
            double value =
                    equals < 0 ? Double.NaN : number(field.substring(equals + 1).trim());
            if (value >= 0 && value <= MAX_VALUE) {
                fields.put(field.substring(0, equals).trim(), value);
            }
        }
        return fields.isEmpty() ? null : of(fields);
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
