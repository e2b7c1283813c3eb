package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code items}: the configuration as it is shown where one asks. */
@Command(
        name = "items",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Items of the configuration with their versions, withdrawn ones too.")
final class ItemsCommand extends Query {

    @Override
    boolean items() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of("stamp", "table", "name", "version", "withdrawn", "host", "prefix", "to");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> item : objects(state, "list")) {
            Map<String, Object> row = JsonCodec.map("stamp", state.get("stamp"));
            row.putAll(item);
            row.put("to", to(item));
            row.keySet().retainAll(columns());
            rows.add(row);
        }
        return rows;
    }

    /** Services with their weights. */
    static String to(Map<String, Object> item) {
        List<Map<String, Object>> services = objects(item, "services");
        return services.size() == 1
                ? TablePrinter.text(services.get(0).get("service"))
                : String.join(
                        ",",
                        services.stream()
                                .map(s ->
                                        TablePrinter.text(s.get("service")) + "=" + TablePrinter.text(s.get("weight")))
                                .toList());
    }
}
