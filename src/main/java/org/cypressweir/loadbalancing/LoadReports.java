package org.cypressweir.loadbalancing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cypressweir.common.util.Json;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;

/** A server's word on its load, in the settings' names: as an object, or as the header of an answer. */
public final class LoadReports {

    private static final String FORM = "TEXT ";

    private static final double MOST = 1e6;

    private LoadReports() {}

    /** The report in an object; what it lacks is unknown. */
    public static LoadReport of(Map<?, ?> m) {
        return new LoadReport(
                figure(m, "active"),
                figure(m, "waiting"),
                figure(m, "cpu"),
                figure(m, "avg_ms"),
                figure(m, "rps"),
                figure(m, "err_rps"));
    }

    private static double figure(Map<?, ?> m, String name) {
        return Json.doubleValue(m, name, Double.NaN);
    }

    /** The first of the headers that can be read; a broken one may stand before it. */
    public static LoadReport parse(List<String> headers) {
        return headers.stream()
                .map(LoadReports::parse)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    /**
     * Reads {@code TEXT cpu=0.61, rps=140}; null where there is nothing to read. A server may be of another
     * version or broken, so fields that are unknown, no numbers, below 0 or past belief are passed over: one
     * of them in a mean would stay there.
     */
    public static LoadReport parse(String header) {
        if (header == null || !header.startsWith(FORM)) {
            return null;
        }
        Map<String, Double> fields = new HashMap<>();
        for (String field : header.substring(FORM.length()).split(",")) {
            int equals = field.indexOf('=');
            double value =
                    equals < 0 ? Double.NaN : number(field.substring(equals + 1).trim());
            if (value >= 0 && value <= MOST) {
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
