package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;

/** {@code items}: the items of the configuration in force at a process. */
@Command(
        name = "items",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "List the items of the configuration with their versions, including withdrawn items.")
public final class ItemsCommand extends QueryCommand {

    private static final List<Column> FIELDS = List.of(
            Column.of("table"),
            Column.of("name"),
            Column.of("version"),
            Column.of("withdrawn"),
            Column.of("host"),
            Column.of("prefix"));

    @Override
    boolean needsItems() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of("proposal", "table", "name", "version", "withdrawn", "host", "prefix", "destination");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> item : state.objects(NodeState.ITEMS)) {
            Map<String, Object> row = Column.row(FIELDS, item);
            row.put("proposal", state.get(NodeState.PROPOSAL));
            row.put("destination", destination(item));
            rows.add(row);
        }
        return rows;
    }

    /** The service that a route leads to, or several with their weights. */
    static String destination(Map<String, Object> item) {
        List<Map<String, Object>> services = NodeState.objects(item, "services");
        if (services.size() == 1) {
            return TablePrinter.text(services.get(0).get("service"));
        }
        List<String> weighted = new ArrayList<>();
        for (Map<String, Object> service : services) {
            weighted.add(TablePrinter.text(service.get("service")) + "=" + TablePrinter.text(service.get("weight")));
        }
        return String.join(",", weighted);
    }
}
