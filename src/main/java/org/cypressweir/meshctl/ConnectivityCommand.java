package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code sights}: who hears whom, and whom somebody misses. */
@Command(
        name = "sights",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Who watches whom, and how it is seen: heard, silent, down (refused or lost), gone "
                + "(taken out without a word).")
final class ConnectivityCommand extends Query {

    /** A pilot's line to a pilot is silent for operators after so long. */
    private static final long SILENT_MS = 6_000;

    @Override
    boolean wide() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of("name", "kind", "sees", "address", "as", "ageMs");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> one : objects(state, "harbours")) {
            rows.add(row(state, "harbour", one, Boolean.TRUE.equals(one.get("heard")) ? "heard" : "silent", null));
        }
        for (Map<String, Object> one : objects(state, "peers")) {
            rows.add(row(
                    state,
                    "pilot",
                    one,
                    Boolean.TRUE.equals(one.get("down")) || !Boolean.TRUE.equals(one.get("line"))
                            ? "down"
                            : seen(one.get("ageMs")),
                    one.get("ageMs")));
        }
        for (Map<String, Object> one : objects(state, "berths")) {
            rows.add(row(state, "pilot " + one.get("name"), one, seen(one.get("ageMs")), one.get("ageMs")));
        }
        for (Map<String, Object> one : objects(state, "missed")) {
            rows.add(row(state, "pilot " + one.get("name"), one, "gone", one.get("goneMs")));
        }
        return rows;
    }

    private static String seen(Object age) {
        return age instanceof Number number && number.longValue() <= SILENT_MS ? "heard" : "silent";
    }

    private static Map<String, Object> row(
            Map<String, Object> state, String sees, Map<String, Object> one, String as, Object age) {
        return JsonCodec.map(
                "name",
                state.get("name"),
                "kind",
                state.get("kind"),
                "sees",
                sees,
                "address",
                one.get("address"),
                "as",
                as,
                "ageMs",
                age);
    }
}
