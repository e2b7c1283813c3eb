package org.cypressweir.meshctl.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.TracedRequest;
import org.cypressweir.meshctl.state.TracedRequest.Attempt;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code why ID}: the trace of a request. */
@Command(
        name = "why",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the trace of a request, out of the last 2,000 of each proxy: a line for each attempt, in "
                + "the order in which they were sent; times are in milliseconds after the request arrived.",
        footer = "Exit status: 4 if all processes have responded and none has such a request.")
public final class WhyCommand extends QueryCommand {

    private static final List<Column<TracedRequest>> REQUEST_COLUMNS = List.of(
            new Column<>("arrived", TracedRequest::arrived),
            new Column<>("host", TracedRequest::host),
            new Column<>("path", TracedRequest::path),
            new Column<>("route", TracedRequest::route),
            new Column<>("tenant", TracedRequest::tenant),
            new Column<>("service", TracedRequest::service),
            new Column<>("status", TracedRequest::status),
            new Column<>("error", TracedRequest::error),
            new Column<>("respondedMs", TracedRequest::respondedMillis));
    private static final List<Column<Attempt>> ATTEMPT_COLUMNS = List.of(
            new Column<>("server", Attempt::server),
            new Column<>("proxy", Attempt::proxy),
            new Column<>("sentMs", Attempt::sentMillis),
            new Column<>("durationMs", Attempt::durationMillis),
            new Column<>("outcome", Attempt::outcome));

    @Parameters(paramLabel = "ID", description = "The request's Cypressweir-Attempt-Id.")
    private String id;

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of(
                "name",
                "arrived",
                "host",
                "path",
                "route",
                "tenant",
                "service",
                "attempt",
                "server",
                "proxy",
                "sentMs",
                "durationMs",
                "outcome",
                "status",
                "error",
                "respondedMs");
    }

    /** Finds the processes first, then asks those that responded for traces of the request. */
    @Override
    List<NodeResponse> query(FanOutClient client, List<String> addresses) {
        List<NodeResponse> all = new ArrayList<>(super.query(client, addresses));
        List<String> responding = all.stream()
                .filter(response -> !response.failed())
                .map(NodeResponse::address)
                .toList();
        all.removeIf(response -> !response.failed());
        all.addAll(
                client.get(responding, ApiCall.REQUEST_TRACES.path() + URLEncoder.encode(id, StandardCharsets.UTF_8)));
        return all;
    }

    @Override
    List<Row> rows(NodeState state) {
        List<Row> rows = new ArrayList<>();
        for (TracedRequest request : state.requests()) {
            rows.addAll(rows(state.process().name(), request));
        }
        return rows;
    }

    /** One row for each attempt, or one row for a request without any. */
    private static List<Row> rows(JsonValue proxyName, TracedRequest request) {
        Row common = new Row().put("name", proxyName).putAll(Column.row(REQUEST_COLUMNS, request));
        if (request.attempts().isEmpty()) {
            return List.of(common);
        }
        List<Row> rows = new ArrayList<>();
        for (Attempt attempt : request.attempts()) {
            rows.add(new Row()
                    .putAll(common)
                    .putAll(Column.row(ATTEMPT_COLUMNS, attempt))
                    .put("attempt", rows.size() + 1));
        }
        return rows;
    }

    @Override
    int exitStatus(TablePrinter table) {
        return table.rows().isEmpty() ? ExitStatus.NOT_FOUND : ExitStatus.OK;
    }
}
