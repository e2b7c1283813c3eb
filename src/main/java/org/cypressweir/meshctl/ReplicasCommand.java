package org.cypressweir.meshctl;

import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import picocli.CommandLine.Command;

/** {@code copies}: which configuration stands where, and how copies are. */
@Command(
        name = "copies",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "The configuration's stamp where one asks; of harbours their copies, and how many "
                + "other harbours are heard.")
final class ReplicasCommand extends Query {

    @Override
    boolean wide() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of(
                "kind",
                "name",
                "stamp",
                "items",
                "open",
                "forgetful",
                "sick",
                "inContact",
                "confirmedMs",
                "crew",
                "heard");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        Map<String, Object> row = JsonCodec.map();
        columns().forEach(column -> {
            if (state.get(column) != null) {
                row.put(column, state.get(column));
            }
        });
        List<Map<String, Object>> harbours = objects(state, "harbours");
        if (!harbours.isEmpty()) {
            row.put(
                    "heard",
                    harbours.stream().filter(h -> Json.flag(h, "heard")).count() + "/" + harbours.size());
        }
        return List.of(row);
    }
}
