package org.cypressweir.meshctl.command;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cypressweir.meshctl.state.JsonValue;

/** A row of a table: values by column, in the order in which the columns were added. Confined to one thread. */
final class Row {

    private final Map<String, JsonValue> values = new LinkedHashMap<>();

    /** Sets a value; null is ignored. */
    Row put(String column, JsonValue value) {
        return value.isNull() ? this : putNullable(column, value);
    }

    /** Sets a text; null is ignored. */
    Row put(String column, String text) {
        return put(column, JsonValue.of(text));
    }

    Row put(String column, long number) {
        return put(column, JsonValue.of(number));
    }

    /** Sets a value that may be null; JSON output includes it also then. */
    Row putNullable(String column, JsonValue value) {
        values.put(column, value);
        return this;
    }

    /** Sets all values of another row; a column that this row already has keeps its position. */
    Row putAll(Row other) {
        values.putAll(other.values);
        return this;
    }

    /** The value in a column; {@link JsonValue#ABSENT} if there is none. */
    JsonValue get(String column) {
        return values.getOrDefault(column, JsonValue.ABSENT);
    }

    /** The row as {@code JsonCodec} encodes it. */
    Map<String, Object> encodable() {
        Map<String, Object> object = new LinkedHashMap<>();
        values.forEach((column, value) -> object.put(column, value.encodable()));
        return object;
    }

    /** Columns and values in their order, as {@code {column=value, column=value}}. */
    @Override
    public String toString() {
        return values.toString();
    }
}
