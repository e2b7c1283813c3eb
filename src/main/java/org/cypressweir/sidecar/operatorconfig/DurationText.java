package org.cypressweir.sidecar.operatorconfig;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations as a number with unit {@code us}, {@code ms}, {@code s} or {@code m}. */
final class DurationText {

    private static final Pattern FORMAT = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|m)");

    private DurationText() {}

    /** Returns whole microseconds, or -1 if the text is not a duration. */
    static long parseMicros(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return -1;
        }
        long unit =
                switch (matcher.group(2)) {
                    case "us" -> 1;
                    case "ms" -> 1_000;
                    case "s" -> 1_000_000;
                    default -> 60_000_000;
                };
        return new BigDecimal(matcher.group(1))
                .multiply(BigDecimal.valueOf(unit))
                .longValue();
    }

    /** Formats a duration in us, ms or s; {@link #parseMicros} reads the same value back. */
    static String format(long micros) {
        if (micros % 1_000 != 0) {
            return micros + "us";
        }
        if (micros < 1_000_000) {
            return micros / 1_000 + "ms";
        }
        return BigDecimal.valueOf(micros, 6).stripTrailingZeros().toPlainString() + "s";
    }
}
