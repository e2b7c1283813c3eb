package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A table of answers: rows may be chosen, sorted and cut to columns. What a row lacks is empty. */
record TablePrinter(List<String> columns, List<Map<String, Object>> rows) {

    /** Rows whose column reads so. */
    TablePrinter where(String column, String value) {
        return new TablePrinter(
                columns,
                rows.stream().filter(row -> text(row.get(column)).equals(value)).toList());
    }

    /** Numbers by size, all else as texts; rows that are alike keep their order. */
    TablePrinter sorted(String column) {
        List<Map<String, Object>> sorted = new ArrayList<>(rows);
        sorted.sort((a, b) -> compare(a.get(column), b.get(column)));
        return new TablePrinter(columns, sorted);
    }

    TablePrinter cut(List<String> kept) {
        List<Map<String, Object>> cut = new ArrayList<>();
        for (Map<String, Object> row : rows) {
            Map<String, Object> less = new LinkedHashMap<>();
            kept.forEach(column -> less.put(column, row.get(column)));
            cut.add(less);
        }
        return new TablePrinter(kept, cut);
    }

    private static int compare(Object a, Object b) {
        return a instanceof Number x && b instanceof Number y
                ? Double.compare(x.doubleValue(), y.doubleValue())
                : text(a).compareTo(text(b));
    }

    /** Lines of a plain table: a head, then a line a row; columns two spaces apart. */
    List<String> lines() {
        Map<String, Integer> widths = new LinkedHashMap<>();
        columns.forEach(column -> widths.put(
                column,
                rows.stream().mapToInt(row -> text(row.get(column)).length()).reduce(column.length(), Math::max)));
        List<String> lines = new ArrayList<>();
        lines.add(line(widths, null));
        rows.forEach(row -> lines.add(line(widths, row)));
        return lines;
    }

    private String line(Map<String, Integer> widths, Map<String, Object> row) {
        StringBuilder line = new StringBuilder();
        widths.forEach((column, width) -> {
            String text = row == null ? column : text(row.get(column));
            boolean right = row != null && isOfNumbers(column);
            String space = " ".repeat(width - text.length());
            line.append(right ? space + text : text + space).append("  ");
        });
        return line.toString().stripTrailing();
    }

    private boolean isOfNumbers(String column) {
        return rows.stream().allMatch(row -> row.get(column) == null || row.get(column) instanceof Number);
    }

    static String text(Object value) {
        if (value instanceof Collection<?> list) {
            return String.join(",", list.stream().map(TablePrinter::text).toList());
        } else if (value instanceof Double number && number == Math.rint(number)) {
            return Long.toString(number.longValue());
        }
        // No control character of an answer may reach a terminal.
        return value == null ? "" : String.valueOf(value).replaceAll("\\p{Cntrl}", "?");
    }
}
