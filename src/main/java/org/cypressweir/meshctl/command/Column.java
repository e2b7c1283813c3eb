package org.cypressweir.meshctl.command;

import java.util.List;
import java.util.function.Function;
import org.cypressweir.meshctl.state.JsonValue;

/**
 * A column of a table whose values come from a record.
 *
 * @param title the column header
 * @param value takes the value from the record
 */
record Column<T>(String title, Function<T, JsonValue> value) {

    static List<String> titles(List<? extends Column<?>> columns) {
        return columns.stream().<String>map(Column::title).toList();
    }

    /** A row with a value in each column for which the record has one. */
    static <T> Row row(List<Column<T>> columns, T source) {
        Row row = new Row();
        columns.forEach(column -> row.put(column.title(), column.value().apply(source)));
        return row;
    }
}
