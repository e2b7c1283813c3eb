package org.cypressweir.meshctl.command;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.transport.JsonCodec;

/** Prints the result of a query: the table as text or JSON to one writer, failures as lines to another. */
record QueryOutput(PrintWriter out, PrintWriter err, AnsiStyle style) {

    void printText(TablePrinter table) {
        List<String> lines = table.lines();
        out.println(style.header(lines.get(0)));
        lines.subList(1, lines.size()).forEach(out::println);
    }

    /** Prints JSON. Scripts read it, so the names of its fields are fixed. */
    void printJson(TablePrinter table, List<NodeResponse> failed) {
        List<Object> rows = new ArrayList<>();
        table.rows().forEach(row -> rows.add(row.encodable()));
        List<Object> failures = new ArrayList<>();
        for (NodeResponse response : failed) {
            failures.add(JsonCodec.map("at", response.address(), "name", response.name(), "why", response.failure()));
        }
        byte[] json = JsonCodec.bytes(JsonCodec.map("rows", rows, "silent", failures));
        out.println(new String(json, StandardCharsets.UTF_8));
    }

    /** Prints the failures; flushes the table first, so that they follow it. */
    void printFailures(List<NodeResponse> failed) {
        out.flush();
        for (NodeResponse response : failed) {
            err.println(style.error("cypressweir: " + response.describeFailure()));
        }
        err.flush();
    }

    /** Separates the tables of a repeated query. */
    void printEmptyLine() {
        out.println();
    }
}
