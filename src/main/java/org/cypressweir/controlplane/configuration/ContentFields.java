package org.cypressweir.controlplane.configuration;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.settings.DurationText;

/** Typed fields of an item's content. What is wrong is thrown as {@link Bad}, which names the place. */
final class ContentFields {

    static final long LONGEST_MICROS = 600_000_000;

    /** A field that is missing or wrong. */
    static final class Bad extends Exception {
        private static final long serialVersionUID = 1;

        Bad(String reason) {
            super(reason, null, false, false);
        }
    }

    private final String place;
    private final Map<?, ?> content;

    ContentFields(String place, Map<?, ?> content) {
        this.place = place;
        this.content = content;
    }

    ContentFields within(String name, Map<?, ?> inner) {
        return new ContentFields(place + "." + name, inner);
    }

    Bad bad(String name, String why) {
        return new Bad(place + "." + name + " " + why);
    }

    boolean has(String name) {
        return content.get(name) != null;
    }

    String text(String name) throws Bad {
        if (!(content.get(name) instanceof String text)) {
            throw bad(name, has(name) ? "must be a text" : "is missing");
        }
        if (text.isBlank()) {
            throw bad(name, "must not be empty");
        }
        return text;
    }

    /** Microseconds, above 0 and at most ten minutes. */
    long time(String name) throws Bad {
        Option<Long> time = DurationText.micros(text(name));
        if (time.isEmpty()) {
            throw bad(name, "must be a time such as 1500ms or 2.5s");
        }
        long micros = time.get();
        if (micros <= 0 || micros > LONGEST_MICROS) {
            throw bad(name, "must be above 0 and at most ten minutes");
        }
        return micros;
    }

    long time(String name, long otherwise) throws Bad {
        return has(name) ? time(name) : otherwise;
    }

    long whole(String name, long least, long most) throws Bad {
        Object value = content.get(name);
        if (value == null) {
            throw bad(name, "is missing");
        }
        BigDecimal number = value instanceof Number n ? new BigDecimal(n.toString()) : null;
        if (number == null || number.stripTrailingZeros().scale() > 0) {
            throw bad(name, "must be a whole number");
        }
        if (number.compareTo(BigDecimal.valueOf(least)) < 0 || number.compareTo(BigDecimal.valueOf(most)) > 0) {
            throw bad(name, "must be from " + least + " to " + most);
        }
        return number.longValue();
    }

    long whole(String name, long least, long most, long otherwise) throws Bad {
        return has(name) ? whole(name, least, most) : otherwise;
    }

    /** A number that is not below 0. */
    double amount(String name) throws Bad {
        if (!(content.get(name) instanceof Number number)) {
            throw bad(name, has(name) ? "must be a number" : "is missing");
        }
        double amount = number.doubleValue();
        if (!(amount >= 0) || Double.isInfinite(amount)) {
            throw bad(name, "must not be below 0");
        }
        return amount;
    }

    double amount(String name, double otherwise) throws Bad {
        return has(name) ? amount(name) : otherwise;
    }

    boolean flag(String name, boolean otherwise) throws Bad {
        Object value = content.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw bad(name, "must be true or false");
        }
        return value == null ? otherwise : (Boolean) value;
    }

    List<?> list(String name) throws Bad {
        if (!(content.get(name) instanceof List<?> list)) {
            throw bad(name, has(name) ? "must be a list" : "is missing");
        }
        return list;
    }
}
