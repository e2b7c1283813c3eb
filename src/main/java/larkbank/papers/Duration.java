package larkbank.papers;

import io.vavr.control.Option;

/** Times as texts: a number and its unit, as in 1500ms or 2.5s. */
public final class Duration {

    private Duration() { }

    /** Microseconds of such a text; nothing where it is none. */
    public static Option<Long> micros(String text) {
        double unit = text.endsWith("ms") ? 1e3 : text.endsWith("s") ? 1e6 : 0;
        if (unit == 0) {
            return Option.none();
        }
        try {
            String number = text.substring(0, text.length() - (text.endsWith("ms") ? 2 : 1));
            return Option.some(Math.round(Double.parseDouble(number) * unit));
        } catch (NumberFormatException e) {
            return Option.none();
        }
    }
}
