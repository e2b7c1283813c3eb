package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.meshctl.state.JsonValue;

/** An immutable table that can be filtered, sorted and printed as text. A missing value is printed as blank. */
record TablePrinter(List<String> columns, List<Row> rows) {

    private static final String COLUMN_GAP = "  ";

    /** The rows whose value in a column has this text. */
    TablePrinter filter(String column, String value) {
        List<Row> matching = rows.stream()
                .filter(row -> row.get(column).display().equals(value))
                .toList();
        return new TablePrinter(columns, matching);
    }

    /** Sorts numbers by value and everything else by text; equal rows keep their order. */
    TablePrinter sort(String column) {
        List<Row> sorted = new ArrayList<>(rows);
        sorted.sort((a, b) -> compare(a.get(column), b.get(column)));
        return new TablePrinter(columns, sorted);
    }

    /** Only these columns, in this order. */
    TablePrinter select(List<String> selected) {
        List<Row> reduced = new ArrayList<>();
        for (Row row : rows) {
            Row values = new Row();
            selected.forEach(column -> values.putNullable(column, row.get(column)));
            reduced.add(values);
        }
        return new TablePrinter(selected, reduced);
    }

    private static int compare(JsonValue a, JsonValue b) {
        return a.isNumber() && b.isNumber()
                ? Double.compare(a.doubleValue(), b.doubleValue())
                : a.display().compareTo(b.display());
    }

    /** A header, then a line for each row. Columns of numbers are aligned to the right. */
    List<String> lines() {
        Map<String, Integer> widths = new LinkedHashMap<>();
        columns.forEach(column -> widths.put(column, width(column)));
        List<String> lines = new ArrayList<>();
        lines.add(header(widths));
        rows.forEach(row -> lines.add(line(widths, row)));
        return lines;
    }

    private int width(String column) {
        return rows.stream().mapToInt(row -> row.get(column).display().length()).reduce(column.length(), Math::max);
    }

    private static String header(Map<String, Integer> widths) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) ->
                line.append(column).append(" ".repeat(width - column.length())).append(COLUMN_GAP));
        return line.toString().stripTrailing();
    }

    private String line(Map<String, Integer> widths, Row row) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) -> {
            String text = row.get(column).display();
            String padding = " ".repeat(width - text.length());
            line.append(isNumeric(column) ? padding + text : text + padding).append(COLUMN_GAP);
        });
        return line.toString().stripTrailing();
    }

    private boolean isNumeric(String column) {
        return rows.stream()
                .allMatch(row -> row.get(column).isNull() || row.get(column).isNumber());
    }
}
