package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code config-status [NAME]}: which version of each item is in force, and at which processes. */
@Command(
        name = "config-status",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the versions of items in force, with the number and the names of the processes that have "
                + "each; an item with two lines has two versions. A dash: these processes don't have the item.")
public final class ConfigStatusCommand extends QueryCommand {

    private static final String NO_VERSION = "-";
    private static final List<Column> ITEM_FIELDS =
            List.of(Column.of("table"), Column.of("name"), Column.of("version"), Column.of("withdrawn"));

    /** The versions of one item, each a row, and the addresses of the processes that have any. */
    private static final class ItemVersions {
        private final Map<String, Map<String, Object>> rowsByVersion = new TreeMap<>();
        private final List<String> addresses = new ArrayList<>();

        void add(Map<String, Object> version, NodeResponse process) {
            addresses.add(process.address());
            count(rowsByVersion.computeIfAbsent(version.toString(), key -> version), process);
        }

        /** A row for each version, then one for the processes that don't have the item. */
        List<Map<String, Object>> rows(List<NodeResponse> processes) {
            List<Map<String, Object>> rows = new ArrayList<>(rowsByVersion.values());
            Map<String, Object> first = rows.get(0);
            Map<String, Object> missing =
                    JsonCodec.map("table", first.get("table"), "name", first.get("name"), "version", NO_VERSION);
            for (NodeResponse process : processes) {
                if (!addresses.contains(process.address())) {
                    count(missing, process);
                }
            }
            if (missing.containsKey("count")) {
                rows.add(missing);
            }
            return rows;
        }

        private static void count(Map<String, Object> row, NodeResponse process) {
            String name = process.name().isEmpty() ? process.address() : process.name();
            row.merge("count", 1L, (a, b) -> (Long) a + (Long) b);
            row.merge("processes", name, (a, b) -> a + "," + b);
        }
    }

    @Parameters(arity = "0..1", paramLabel = "NAME", description = "Only items of that name.")
    private String wantedName;

    @Override
    boolean needsItems() {
        return true;
    }

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    boolean rowsHaveAddress() {
        return false;
    }

    @Override
    public List<String> columns() {
        return List.of("table", "name", "version", "withdrawn", "count", "processes");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        return state.objects(NodeState.ITEMS);
    }

    @Override
    List<Map<String, Object>> combinedRows(List<NodeResponse> responses) {
        Map<String, ItemVersions> items = new TreeMap<>();
        for (NodeResponse response : responses) {
            for (Map<String, Object> item : rows(response.state())) {
                if (wantedName == null || wantedName.equals(item.get("name"))) {
                    items.computeIfAbsent(item.get("table") + "." + item.get("name"), key -> new ItemVersions())
                            .add(Column.row(ITEM_FIELDS, item), response);
                }
            }
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        items.values().forEach(item -> rows.addAll(item.rows(responses)));
        return rows;
    }
}
