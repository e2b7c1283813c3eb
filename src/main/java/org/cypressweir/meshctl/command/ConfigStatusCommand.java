package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.meshctl.state.Item;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code config-status [NAME]}: the versions of each item in force, and the processes that have them. */
@Command(
        name = "config-status",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the versions of items in force, with the number and the names of the processes that have "
                + "each; an item with two lines has two versions. A dash: these processes don't have the item.")
public final class ConfigStatusCommand extends QueryCommand {

    private static final String NO_VERSION = "-";
    private static final List<Column<Item>> VERSION_COLUMNS = List.of(
            new Column<>("table", Item::type),
            new Column<>("name", Item::name),
            new Column<>("version", Item::version),
            new Column<>("withdrawn", Item::withdrawn));

    /** The processes that have one version of an item, or that do not have the item. */
    private record VersionHolders(Row version, List<String> names) {

        VersionHolders(Row version) {
            this(version, new ArrayList<>());
        }

        void add(NodeResponse process) {
            names.add(process.name().isEmpty() ? process.address() : process.name());
        }

        Row row() {
            return new Row().putAll(version).put("count", names.size()).put("processes", String.join(",", names));
        }
    }

    /** The versions of one item, and the addresses of the processes that have the item. */
    private static final class ItemVersions {
        private final Item item;
        /** Keyed by the text of the row, so that they are sorted by version. */
        private final Map<String, VersionHolders> holders = new TreeMap<>();

        private final List<String> addresses = new ArrayList<>();

        ItemVersions(Item item) {
            this.item = item;
        }

        void add(Item version, NodeResponse process) {
            addresses.add(process.address());
            Row row = Column.row(VERSION_COLUMNS, version);
            holders.computeIfAbsent(row.toString(), key -> new VersionHolders(row))
                    .add(process);
        }

        /** A row for each version, then one for the processes that don't have the item. */
        List<Row> rows(List<NodeResponse> processes) {
            List<Row> rows = new ArrayList<>();
            holders.values().forEach(version -> rows.add(version.row()));
            VersionHolders missing = new VersionHolders(
                    new Row().put("table", item.type()).put("name", item.name()).put("version", NO_VERSION));
            processes.stream()
                    .filter(process -> !addresses.contains(process.address()))
                    .forEach(missing::add);
            if (!missing.names().isEmpty()) {
                rows.add(missing.row());
            }
            return rows;
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
    List<Row> rows(NodeState state) {
        return List.of();
    }

    @Override
    List<Row> combinedRows(List<NodeResponse> responses) {
        Map<String, ItemVersions> items = new TreeMap<>();
        for (NodeResponse response : responses) {
            for (Item item : response.state().items()) {
                if (wantedName == null || item.name().isText(wantedName)) {
                    items.computeIfAbsent(item.type() + "." + item.name(), key -> new ItemVersions(item))
                            .add(item, response);
                }
            }
        }
        List<Row> rows = new ArrayList<>();
        items.values().forEach(item -> rows.addAll(item.rows(responses)));
        return rows;
    }
}
