package larkbank.sidecar;

import java.util.Arrays;
import larkbank.LoadBalancer.LoadReport;

/** Reads a server's word on its load: {@code TEXT util=0.61, qps=140}. */
final class LoadReports {

    private static final String FORM = "TEXT ";

    private LoadReports() { }

    /** The report, or null where there is none; fields that are unknown or no numbers are passed over. */
    static LoadReport parse(String header) {
        if (header == null || !header.startsWith(FORM)) {
            return null;
        }
        double[] values = new double[6];
        Arrays.fill(values, Double.NaN);
        boolean any = false;
        for (String field : header.substring(FORM.length()).split(",")) {
            int equals = field.indexOf('=');
            int slot = equals < 0 ? -1 : slot(field.substring(0, equals).trim());
            double value = slot < 0 ? Double.NaN : number(field.substring(equals + 1).trim());
            if (value >= 0 && value < Double.POSITIVE_INFINITY) {
                values[slot] = value;
                any = true;
            }
        }
        return any ? new LoadReport(values[0], values[1], values[2], values[3], values[4], values[5]) : null;
    }

    private static int slot(String name) {
        return switch (name) {
            case "inflight" -> 0;
            case "queue" -> 1;
            case "util" -> 2;
            case "latency_ms" -> 3;
            case "qps" -> 4;
            case "eps" -> 5;
            default -> -1;
        };
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
