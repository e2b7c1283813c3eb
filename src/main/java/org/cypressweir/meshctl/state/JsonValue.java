package org.cypressweir.meshctl.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A value of a response. A process of another build may send any type in any field, so the type is checked only where
 * the value is used, and output passes the value on unchanged. Immutable.
 */
public final class JsonValue {

    /** The value of a missing field. */
    public static final JsonValue ABSENT = new JsonValue(null);

    private final Object content;

    private JsonValue(Object content) {
        this.content = content;
    }

    /** @param content as {@code JsonCodec} decodes it */
    public static JsonValue decoded(Object content) {
        return new JsonValue(content);
    }

    /** A text, or JSON's null for null. */
    public static JsonValue of(String text) {
        return new JsonValue(text);
    }

    public static JsonValue of(long number) {
        return new JsonValue(number);
    }

    /** Whether the field is missing, as opposed to null. */
    public boolean isAbsent() {
        return this == ABSENT;
    }

    /** Whether this is null or absent. */
    public boolean isNull() {
        return content == null;
    }

    public boolean isTrue() {
        return Boolean.TRUE.equals(content);
    }

    public boolean isNumber() {
        return content instanceof Number;
    }

    /** Whether this is that text. */
    public boolean isText(String text) {
        return text.equals(content);
    }

    /** The number; 0 if this is not a number. */
    public double doubleValue() {
        return content instanceof Number number ? number.doubleValue() : 0;
    }

    /** The number without its fraction; 0 if this is not a number. */
    public long longValue() {
        return content instanceof Number number ? number.longValue() : 0;
    }

    /** The text; empty if this is not a text. */
    public String text() {
        return content instanceof String text ? text : "";
    }

    /** The elements of an array; empty if this is not an array. */
    public List<JsonValue> elements() {
        List<JsonValue> elements = new ArrayList<>();
        if (content instanceof Collection<?> array) {
            array.forEach(element -> elements.add(decoded(element)));
        }
        return elements;
    }

    /** This value as an object; empty if it is not an object. */
    @SuppressWarnings("unchecked")
    public Optional<JsonObject> object() {
        return content instanceof Map<?, ?>
                ? Optional.of(new JsonObject((Map<String, Object>) content))
                : Optional.empty();
    }

    /** Those elements of an array that are objects; empty if this is not an array. */
    public List<JsonObject> objects() {
        return elements().stream().flatMap(element -> element.object().stream()).toList();
    }

    /** Readable text: whole numbers without a fraction, arrays separated by commas, null as empty text. */
    public String display() {
        if (content instanceof Collection<?>) {
            return String.join(",", elements().stream().map(JsonValue::display).toList());
        }
        if (content instanceof Double number && number == Math.rint(number)) {
            return Long.toString(number.longValue());
        }
        // No control character of a response may reach a terminal.
        return content == null ? "" : String.valueOf(content).replaceAll("\\p{Cntrl}", "?");
    }

    /** The value as {@code JsonCodec} encodes it. */
    public Object encodable() {
        return content;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof JsonValue value && Objects.equals(content, value.content);
    }

    @Override
    public int hashCode() {
        return Objects.hashCode(content);
    }

    /** The value as part of a longer text; {@code null} for null. */
    @Override
    public String toString() {
        return String.valueOf(content);
    }
}
