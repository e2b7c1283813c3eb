package org.cypressweir.meshctl.command;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code route HOST PATH}: the route that matches a request, according to a process. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the route that matches requests for a host and a path: the longest matching path prefix "
                + "of that host.",
        footer = "Exit status: 4 if a queried process has no such route.")
public final class RouteCommand extends QueryCommand {

    private static final String NO_ROUTE = "-";
    private static final List<Column> FIELDS = List.of(
            Column.of("route", "name"),
            Column.of("host"),
            Column.of("prefix"),
            Column.of("publicAccess", "open"),
            Column.of("idempotent", "repeatable"),
            Column.of("priority"),
            Column.of("maxAttempts", "attempts"),
            Column.of("targetLatencyMs", "aimMs"),
            Column.of("timeoutMs"));

    @Parameters(index = "0", paramLabel = "HOST")
    private String host;

    @Parameters(index = "1", paramLabel = "PATH")
    private String path;

    @Override
    boolean needsItems() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of(
                "proposal",
                "route",
                "host",
                "prefix",
                "destination",
                "publicAccess",
                "idempotent",
                "priority",
                "maxAttempts",
                "targetLatencyMs",
                "timeoutMs");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        Map<String, Object> row = JsonCodec.map("proposal", state.get(NodeState.PROPOSAL), "route", NO_ROUTE);
        Map<String, Object> route = longestMatch(state.objects(NodeState.ITEMS));
        if (route != null) {
            row.putAll(Column.row(FIELDS, route));
            row.put("destination", ItemsCommand.destination(route));
        }
        return List.of(row);
    }

    /** Null where none matches. */
    private Map<String, Object> longestMatch(List<Map<String, Object>> items) {
        String pathWithoutQuery = path.split("\\?", 2)[0];
        Map<String, Object> longest = null;
        for (Map<String, Object> item : items) {
            if (matches(item, pathWithoutQuery)
                    && (longest == null
                            || prefix(item).length() > prefix(longest).length())) {
                longest = item;
            }
        }
        return longest;
    }

    private boolean matches(Map<String, Object> item, String pathWithoutQuery) {
        return !prefix(item).isEmpty()
                && JsonCodec.text(item, "host").equals(host.toLowerCase(Locale.ROOT))
                && pathWithoutQuery.startsWith(prefix(item));
    }

    private static String prefix(Map<String, Object> item) {
        return JsonCodec.text(item, "prefix");
    }

    @Override
    int exitStatus(TablePrinter table) {
        boolean missing = table.rows().stream().anyMatch(row -> NO_ROUTE.equals(row.get("route")));
        return missing ? ExitStatus.NOT_FOUND : ExitStatus.OK;
    }
}
