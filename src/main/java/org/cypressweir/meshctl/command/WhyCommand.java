package org.cypressweir.meshctl.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
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

    private static final List<Column> REQUEST_FIELDS = List.of(
            Column.of("arrived"),
            Column.of("host"),
            Column.of("path"),
            Column.of("route"),
            Column.of("tenant"),
            Column.of("service"),
            Column.of("status", "answer"),
            Column.of("error", "fault"),
            Column.of("respondedMs", "answeredMs"));
    private static final List<Column> ATTEMPT_FIELDS = List.of(
            Column.of("server"),
            Column.of("proxy", "pilot"),
            Column.of("sentMs"),
            Column.of("durationMs", "tookMs"),
            Column.of("outcome"));

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

    /** Finds the processes first, then queries those that responded for the request. */
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
    List<Map<String, Object>> rows(NodeState state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> request : state.objects(NodeState.REQUESTS)) {
            rows.addAll(rows(state.get(NodeState.NAME), request));
        }
        return rows;
    }

    /** One row for each attempt, or one row for a request without any. */
    private static List<Map<String, Object>> rows(Object proxyName, Map<String, Object> request) {
        Map<String, Object> common = JsonCodec.map("name", proxyName);
        common.putAll(Column.row(REQUEST_FIELDS, request));
        List<Map<String, Object>> attempts = NodeState.objects(request, NodeState.ATTEMPTS);
        if (attempts.isEmpty()) {
            return List.of(common);
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> attempt : attempts) {
            Map<String, Object> row = JsonCodec.map();
            row.putAll(common);
            row.putAll(Column.row(ATTEMPT_FIELDS, attempt));
            row.put("attempt", rows.size() + 1L);
            rows.add(row);
        }
        return rows;
    }

    @Override
    int exitStatus(TablePrinter table) {
        return table.rows().isEmpty() ? ExitStatus.NOT_FOUND : ExitStatus.OK;
    }
}
