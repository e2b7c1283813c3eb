package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cypressweir.meshctl.state.JsonObject;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine.Command;

/** {@code state}: the complete response to the state call, one line per value. */
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
    List<Row> rows(NodeState state) {
        List<Row> rows = new ArrayList<>();
        flatten("", state.response(), rows);
        return rows;
    }

    private static void flatten(String path, JsonObject object, List<Row> rows) {
        String prefix = path.isEmpty() ? "" : path + ".";
        for (String name : object.names()) {
            flatten(prefix + name, object.get(name), rows);
        }
    }

    private static void flatten(String path, JsonValue value, List<Row> rows) {
        Optional<JsonObject> object = value.object();
        if (object.isPresent()) {
            flatten(path, object.get(), rows);
        } else if (!value.objects().isEmpty()) {
            List<JsonValue> elements = value.elements();
            for (int i = 0; i < elements.size(); i++) {
                flatten(path + "[" + i + "]", elements.get(i), rows);
            }
        } else {
            rows.add(new Row().put("path", path).put("value", value));
        }
    }
}
