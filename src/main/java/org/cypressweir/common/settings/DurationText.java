package org.cypressweir.common.settings;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times as texts: a number and its unit, as in 1500ms or 2.5s. */
public final class DurationText {

    private static final Pattern TIME = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,9})?)(ms|s)");

    private DurationText() {}

    /** Whole microseconds of such a text; nothing where it is none. */
    public static Option<Long> micros(String text) {
        Matcher matcher = TIME.matcher(text);
        if (!matcher.matches()) {
            return Option.none();
        }
        long unit = matcher.group(2).equals("s") ? 1_000_000 : 1_000;
        return Option.some(new BigDecimal(matcher.group(1))
                .multiply(BigDecimal.valueOf(unit))
                .longValue());
    }
}
