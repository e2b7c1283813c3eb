package org.cypressweir.meshctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.ApiCall;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code why ID}: which way a request went. */
@Command(
        name = "why",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Which way a request went, of the last 2,000 of each pilot: a line an attempt, in the "
                + "order in which they were sent; times are milliseconds after it came.",
        footer = "Exit status: 4 where all have answered and none has such a request.")
final class WhyCommand extends Query {

    @Parameters(paramLabel = "ID", description = "Its Cypressweir-Attempt-Id.")
    private String id;

    @Override
    boolean wide() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of(
                "name",
                "arrived",
                "host",
                "path",
                "route",
                "tenant",
                "service",
                "try",
                "server",
                "pilot",
                "sentMs",
                "tookMs",
                "outcome",
                "answer",
                "fault",
                "answeredMs");
    }

    /** First who is there, then all of those for the request; who falls silent in between is silent. */
    @Override
    List<NodeResponse> ask(FanOutClient asker, List<String> addresses) {
        List<NodeResponse> all = new ArrayList<>(super.ask(asker, addresses));
        List<String> there =
                all.stream().filter(one -> !one.silent()).map(NodeResponse::at).toList();
        all.removeIf(one -> !one.silent());
        all.addAll(asker.ask(there, ApiCall.REQUEST_TRACES.path() + URLEncoder.encode(id, StandardCharsets.UTF_8)));
        return all;
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> request : objects(state, "requests")) {
            List<Map<String, Object>> attempts = objects(request, "attempts");
            for (int i = 0; i < Math.max(1, attempts.size()); i++) {
                Map<String, Object> row = JsonCodec.map("name", state.get("name"));
                row.putAll(request);
                if (i < attempts.size()) {
                    row.putAll(attempts.get(i));
                    row.put("try", i + 1L);
                }
                row.keySet().retainAll(columns());
                rows.add(row);
            }
        }
        return rows;
    }

    @Override
    int status(TablePrinter sheet) {
        return sheet.rows().isEmpty() ? MeshCtl.NO_ROUTE : MeshCtl.DONE;
    }
}
