package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An immutable table of values that can be filtered, sorted and printed as text. A value that a row lacks is blank. */
record TablePrinter(List<String> columns, List<Map<String, Object>> rows) {

    private static final String COLUMN_GAP = "  ";

    /** The rows whose value in a column has this text. */
    TablePrinter filter(String column, String value) {
        List<Map<String, Object>> matching =
                rows.stream().filter(row -> text(row.get(column)).equals(value)).toList();
        return new TablePrinter(columns, matching);
    }

    /** Sorts numbers by value and all else by text; equal rows keep their order. */
    TablePrinter sort(String column) {
        List<Map<String, Object>> sorted = new ArrayList<>(rows);
        sorted.sort((a, b) -> compare(a.get(column), b.get(column)));
        return new TablePrinter(columns, sorted);
    }

    /** Only these columns, in this order. */
    TablePrinter select(List<String> selected) {
        List<Map<String, Object>> reduced = new ArrayList<>();
        for (Map<String, Object> row : rows) {
            Map<String, Object> values = new LinkedHashMap<>();
            selected.forEach(column -> values.put(column, row.get(column)));
            reduced.add(values);
        }
        return new TablePrinter(selected, reduced);
    }

    private static int compare(Object a, Object b) {
        return a instanceof Number x && b instanceof Number y
                ? Double.compare(x.doubleValue(), y.doubleValue())
                : text(a).compareTo(text(b));
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
        return rows.stream().mapToInt(row -> text(row.get(column)).length()).reduce(column.length(), Math::max);
    }

    private static String header(Map<String, Integer> widths) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) ->
                line.append(column).append(" ".repeat(width - column.length())).append(COLUMN_GAP));
        return line.toString().stripTrailing();
    }

    private String line(Map<String, Integer> widths, Map<String, Object> row) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) -> {
            String text = text(row.get(column));
            String padding = " ".repeat(width - text.length());
            line.append(isNumeric(column) ? padding + text : text + padding).append(COLUMN_GAP);
        });
        return line.toString().stripTrailing();
    }

    private boolean isNumeric(String column) {
        return rows.stream().allMatch(row -> row.get(column) == null || row.get(column) instanceof Number);
    }

    static String text(Object value) {
        if (value instanceof Collection<?> list) {
            return String.join(",", list.stream().map(TablePrinter::text).toList());
        } else if (value instanceof Double number && number == Math.rint(number)) {
            return Long.toString(number.longValue());
        }
        // No control character of a response may reach a terminal.
        return value == null ? "" : String.valueOf(value).replaceAll("\\p{Cntrl}", "?");
    }
}
