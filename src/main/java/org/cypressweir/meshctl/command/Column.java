package org.cypressweir.meshctl.command;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A column of a table whose values come from a field of a state.
 *
 * @param title as it is shown
 * @param field as the state call names it
 */
record Column(String title, String field) {

    static Column of(String titleAndField) {
        return new Column(titleAndField, titleAndField);
    }

    static Column of(String title, String field) {
        return new Column(title, field);
    }

    static List<String> titles(List<Column> columns) {
        return columns.stream().map(Column::title).toList();
    }

    /** A row with a value in each column whose field is there. */
    static Map<String, Object> row(List<Column> columns, Map<String, Object> fields) {
        Map<String, Object> row = new LinkedHashMap<>();
        for (Column column : columns) {
            Object value = fields.get(column.field());
            if (value != null) {
                row.put(column.title(), value);
            }
        }
        return row;
    }
}
