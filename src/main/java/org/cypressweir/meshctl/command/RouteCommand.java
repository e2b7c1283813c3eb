package org.cypressweir.meshctl.command;

import java.util.List;
import java.util.Locale;
import org.cypressweir.meshctl.state.Item;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code route HOST PATH}: the route that matches a request, in the configuration of a process. */
@Command(
        name = "route",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the route that matches requests for a host and a path: the longest matching path prefix "
                + "of that host.",
        footer = "Exit status: 4 if a queried process has no such route.")
public final class RouteCommand extends QueryCommand {

    private static final String NO_ROUTE = "-";
    private static final List<Column<Item>> COLUMNS = List.of(
            new Column<>("route", Item::name),
            new Column<>("host", item -> item.route().host()),
            new Column<>("prefix", item -> item.route().prefix()),
            new Column<>("publicAccess", item -> item.route().publicAccess()),
            new Column<>("idempotent", item -> item.route().idempotent()),
            new Column<>("priority", item -> item.route().priority()),
            new Column<>("maxAttempts", item -> item.route().maxAttempts()),
            new Column<>("targetLatencyMs", item -> item.route().targetLatencyMillis()),
            new Column<>("timeoutMs", item -> item.route().timeoutMillis()));

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
    List<Row> rows(NodeState state) {
        Row row = new Row().put("proposal", state.replica().proposal()).put("route", NO_ROUTE);
        Item route = longestMatch(state.items());
        if (route != null) {
            row.putAll(Column.row(COLUMNS, route));
            row.put("destination", route.route().describeDestinations());
        }
        return List.of(row);
    }

    /** The item of the matching route with the longest path prefix, or null if none matches. */
    private Item longestMatch(List<Item> items) {
        String pathWithoutQuery = path.split("\\?", 2)[0];
        Item longest = null;
        for (Item item : items) {
            if (matches(item, pathWithoutQuery)
                    && (longest == null
                            || prefix(item).length() > prefix(longest).length())) {
                longest = item;
            }
        }
        return longest;
    }

    private boolean matches(Item item, String pathWithoutQuery) {
        return !prefix(item).isEmpty()
                && item.route().host().text().equals(host.toLowerCase(Locale.ROOT))
                && pathWithoutQuery.startsWith(prefix(item));
    }

    private static String prefix(Item item) {
        return item.route().prefix().text();
    }

    @Override
    int exitStatus(TablePrinter table) {
        boolean missing = table.rows().stream().anyMatch(row -> row.get("route").isText(NO_ROUTE));
        return missing ? ExitStatus.NOT_FOUND : ExitStatus.OK;
    }
}
