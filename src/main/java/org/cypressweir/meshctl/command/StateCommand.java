package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code state}: the complete response to the state call, a line for each value. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show everything that a process reports about itself, a line for each value.")
public final class StateCommand extends QueryCommand {

    @Override
    public List<String> columns() {
        return List.of("path", "value");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        flatten("", state.fields(), rows);
        return rows;
    }

    private static void flatten(String path, Object value, List<Map<String, Object>> rows) {
        if (value instanceof Map<?, ?> map) {
            String prefix = path.isEmpty() ? "" : path + ".";
            map.forEach((name, element) -> flatten(prefix + name, element, rows));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            for (int i = 0; i < list.size(); i++) {
                flatten(path + "[" + i + "]", list.get(i), rows);
            }
        } else {
            rows.add(JsonCodec.map("path", path, "value", value));
        }
    }
}
