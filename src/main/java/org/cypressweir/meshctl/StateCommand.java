package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code state}: all of the state call's answer, a line a value. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "All that a process tells of itself, a line a value.")
final class StateCommand extends Query {

    @Override
    List<String> columns() {
        return List.of("place", "value");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        add("", state, rows);
        return rows;
    }

    private static void add(String place, Object value, List<Map<String, Object>> rows) {
        if (value instanceof Map<?, ?> map) {
            String start = place.isEmpty() ? "" : place + ".";
            map.forEach((name, each) -> add(start + name, each, rows));
        } else if (value instanceof List<?> list && list.stream().anyMatch(Map.class::isInstance)) {
            for (int i = 0; i < list.size(); i++) {
                add(place + "[" + i + "]", list.get(i), rows);
            }
        } else {
            rows.add(JsonCodec.map("place", place, "value", value));
        }
    }
}
