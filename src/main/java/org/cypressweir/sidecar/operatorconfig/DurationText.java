package org.cypressweir.sidecar.operatorconfig;

import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times as operators write them: a number and {@code us}, {@code ms}, {@code s} or {@code m}. */
final class DurationText {

    private static final Pattern FORMAT = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,6})?)\\s*(us|ms|s|m)");

    private DurationText() {}

    /** Whole microseconds, or -1 where the text is no time. */
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

    /** The shortest text that {@link #parseMicros} reads back. */
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
