package org.cypressweir.controlplane.configuration;

import io.vavr.control.Option;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.settings.DurationText;

/**
 * Typed access to the fields of an object. A field that is missing or invalid causes an
 * {@link InvalidContentException} with the path of the field.
 */
final class ContentFields {

    private static final long MAX_DURATION_MICROS = 600_000_000;

    private final String path;
    /** The part of the change that the object belongs to. */
    private final RejectionCause owner;
    /** The path of the object within its owner: empty, or ending with a dot. */
    private final String pathInOwner;

    private final Map<?, ?> content;

    private ContentFields(String path, RejectionCause owner, String pathInOwner, Map<?, ?> content) {
        this.path = path;
        this.owner = owner;
        this.pathInOwner = pathInOwner;
        this.content = content;
    }

    /**
     * The fields of a part of a change.
     *
     * @param path with which the texts of reasons begin
     */
    ContentFields(String path, RejectionCause part, Map<?, ?> content) {
        this(path, part, "", content);
    }

    /** The fields of an item that is not withdrawn. */
    static ContentFields of(Item item) {
        return new ContentFields(item.key().toString(), new RejectionCause.InvalidItem(item.key()), item.content());
    }

    /** The fields of an object within this one. */
    ContentFields nested(String name, Map<?, ?> nestedContent) {
        return new ContentFields(path + "." + name, owner, pathInOwner + name + ".", nestedContent);
    }

    InvalidContentException invalid(String name, String reason) {
        return invalid(name, reason, false);
    }

    /** The exception for a field that must not be present together with others. */
    InvalidContentException superfluous(String name, String reason) {
        return invalid(name, reason, true);
    }

    private InvalidContentException invalid(String name, String reason, boolean mustBeAbsent) {
        RejectionCause cause = owner instanceof RejectionCause.InvalidItem invalid
                ? new RejectionCause.InvalidField(invalid.item(), pathInOwner + name, mustBeAbsent)
                : owner;
        return new InvalidContentException(path + "." + name + " " + reason, cause);
    }

    /** Whether the field is present and not null. */
    boolean has(String name) {
        return content.get(name) != null;
    }

    /** A string that is not blank. */
    String text(String name) throws InvalidContentException {
        if (!(content.get(name) instanceof String text)) {
            throw invalid(name, has(name) ? "must be a string" : "is missing");
        }
        if (text.isBlank()) {
            throw invalid(name, "must not be empty");
        }
        return text;
    }

    /** A duration in microseconds, above 0 and at most ten minutes. */
    long durationMicros(String name) throws InvalidContentException {
        Option<Long> duration = DurationText.micros(text(name));
        if (duration.isEmpty()) {
            throw invalid(name, "must be a duration such as 1500ms or 2.5s");
        }
        long micros = duration.get();
        if (micros <= 0 || micros > MAX_DURATION_MICROS) {
            throw invalid(name, "must be above 0 and at most ten minutes");
        }
        return micros;
    }

    long durationMicros(String name, long defaultMicros) throws InvalidContentException {
        return has(name) ? durationMicros(name) : defaultMicros;
    }

    long integer(String name, long min, long max) throws InvalidContentException {
        Object value = content.get(name);
        if (value == null) {
            throw invalid(name, "is missing");
        }
        BigDecimal number = value instanceof Number n ? new BigDecimal(n.toString()) : null;
        if (number == null || number.stripTrailingZeros().scale() > 0) {
            throw invalid(name, "must be an integer");
        }
        if (number.compareTo(BigDecimal.valueOf(min)) < 0 || number.compareTo(BigDecimal.valueOf(max)) > 0) {
            throw invalid(name, "must be from " + min + " to " + max);
        }
        return number.longValue();
    }

    long integer(String name, long min, long max, long defaultValue) throws InvalidContentException {
        return has(name) ? integer(name, min, max) : defaultValue;
    }

    /** A finite number that is not below 0. */
    double nonNegative(String name) throws InvalidContentException {
        if (!(content.get(name) instanceof Number number)) {
            throw invalid(name, has(name) ? "must be a number" : "is missing");
        }
        double result = number.doubleValue();
        if (!(result >= 0) || Double.isInfinite(result)) {
            throw invalid(name, "must not be below 0");
        }
        return result;
    }

    double nonNegative(String name, double defaultValue) throws InvalidContentException {
        return has(name) ? nonNegative(name) : defaultValue;
    }

    boolean flag(String name, boolean defaultValue) throws InvalidContentException {
        Object value = content.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw invalid(name, "must be true or false");
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    List<?> list(String name) throws InvalidContentException {
        if (!(content.get(name) instanceof List<?> list)) {
            throw invalid(name, has(name) ? "must be a list" : "is missing");
        }
        return list;
    }
}
