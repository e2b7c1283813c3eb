package org.cypressweir.common.settings;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations written as a decimal number and a unit, {@code ms} or {@code s}, as in 1500ms or 2.5s. */
public final class DurationText {

    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,9})?)(ms|s)");
    private static final String SECONDS = "s";
    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private DurationText() {}

    /** The duration in microseconds, rounded down; none where the text is not a duration. */
    public static Option<Long> micros(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        long unitMicros = matcher.group(2).equals(SECONDS) ? MICROS_PER_SECOND : MICROS_PER_MILLI;
        BigDecimal number = new BigDecimal(matcher.group(1));
        return Option.some(number.multiply(BigDecimal.valueOf(unitMicros)).longValue());
    }
}
