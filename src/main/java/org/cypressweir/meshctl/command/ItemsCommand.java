package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.meshctl.state.Item;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine.Command;

/** {@code items}: the items of the configuration in force at a process. */
@Command(
        name = "items",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "List the items of the configuration with their versions, including withdrawn items.")
public final class ItemsCommand extends QueryCommand {

    private static final List<Column<Item>> COLUMNS = List.of(
            new Column<>("table", Item::type),
            new Column<>("name", Item::name),
            new Column<>("version", Item::version),
            new Column<>("withdrawn", Item::withdrawn),
            new Column<>("host", item -> item.route().host()),
            new Column<>("prefix", item -> item.route().prefix()));

    @Override
    boolean needsItems() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of("proposal", "table", "name", "version", "withdrawn", "host", "prefix", "destination");
    }

    @Override
    List<Row> rows(NodeState state) {
        List<Row> rows = new ArrayList<>();
        for (Item item : state.items()) {
            rows.add(Column.row(COLUMNS, item)
                    .putNullable("proposal", state.replica().proposal())
                    .put("destination", item.route().describeDestinations()));
        }
        return rows;
    }
}
