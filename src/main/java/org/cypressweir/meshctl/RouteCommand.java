package org.cypressweir.meshctl;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code route HOST PATH}: which route takes such a request, where one asks. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "The route that takes requests for a host and a path: of its host the longest prefix.",
        footer = "Exit status: 4 where somebody who was asked has no such route.")
final class RouteCommand extends Query {

    @Parameters(index = "0", paramLabel = "HOST")
    private String host;

    @Parameters(index = "1", paramLabel = "PATH")
    private String path;

    @Override
    boolean items() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of(
                "stamp",
                "route",
                "host",
                "prefix",
                "to",
                "open",
                "repeatable",
                "priority",
                "attempts",
                "aimMs",
                "timeoutMs");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        String bare = path.split("\\?", 2)[0];
        Map<String, Object> best = null;
        for (Map<String, Object> item : objects(state, "list")) {
            String prefix = JsonCodec.text(item, "prefix");
            if (!prefix.isEmpty()
                    && JsonCodec.text(item, "host").equals(host.toLowerCase(Locale.ROOT))
                    && bare.startsWith(prefix)
                    && (best == null
                            || prefix.length() > JsonCodec.text(best, "prefix").length())) {
                best = item;
            }
        }
        Map<String, Object> row = JsonCodec.map("stamp", state.get("stamp"), "route", "-");
        if (best != null) {
            row.putAll(best);
            row.put("route", best.get("name"));
            row.put("to", ItemsCommand.to(best));
            row.keySet().retainAll(columns());
        }
        return List.of(row);
    }

    @Override
    int status(TablePrinter sheet) {
        return sheet.rows().stream().anyMatch(row -> "-".equals(row.get("route"))) ? MeshCtl.NO_ROUTE : MeshCtl.DONE;
    }
}
