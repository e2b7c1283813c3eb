package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code refusals}: answers of the mesh's own, by fault. */
@Command(
        name = "refusals",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Answers of the mesh's own since a pilot's start, by fault; and its server: what runs, "
                + "what waits, and its slots. A pilot that has refused nothing has one line without a fault.")
final class RejectionsCommand extends Query {

    @Override
    boolean wide() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of("name", "fault", "count", "running", "waiting", "slots");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        if (!"pilot".equals(state.get("kind"))) {
            return rows;
        }
        JsonCodec.object(state, "refusals")
                .forEach((fault, count) -> rows.add(JsonCodec.map(
                        "name",
                        state.get("name"),
                        "fault",
                        fault.toLowerCase(Locale.ROOT).replace('_', ' '),
                        "count",
                        count)));
        if (rows.isEmpty()) {
            rows.add(JsonCodec.map("name", state.get("name"), "count", 0));
        }
        Map<String, Object> own = JsonCodec.object(state, "own");
        rows.forEach(row -> List.of("running", "waiting", "slots").forEach(figure -> row.put(figure, own.get(figure))));
        return rows;
    }
}
