package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code shown [NAME]}: which version of each item is shown, and by whom. */
@Command(
        name = "shown",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Versions of items, with how many and who shows each; two lines of one item are two "
                + "versions. A dash: those don't show the item at all.")
final class ConfigStatusCommand extends Query {

    @Parameters(arity = "0..1", paramLabel = "NAME", description = "Only items of that name.")
    private String wanted;

    @Override
    boolean items() {
        return true;
    }

    @Override
    boolean wide() {
        return true;
    }

    @Override
    boolean isOfEach() {
        return false;
    }

    @Override
    List<String> columns() {
        return List.of("table", "name", "version", "withdrawn", "count", "who");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        return objects(state, "list");
    }

    @Override
    List<Map<String, Object>> table(List<NodeResponse> heard) {
        Map<String, Map<String, Map<String, Object>>> items = new TreeMap<>();
        Map<String, List<String>> holders = new LinkedHashMap<>();
        for (NodeResponse one : heard) {
            for (Map<String, Object> item : rows(one.state())) {
                if (wanted == null || wanted.equals(item.get("name"))) {
                    Map<String, Object> row = JsonCodec.map(
                            "table",
                            item.get("table"),
                            "name",
                            item.get("name"),
                            "version",
                            item.get("version"),
                            "withdrawn",
                            item.get("withdrawn"));
                    String key = item.get("table") + "." + item.get("name");
                    holders.computeIfAbsent(key, k -> new ArrayList<>()).add(one.at());
                    Map<String, Object> first =
                            items.computeIfAbsent(key, k -> new TreeMap<>()).computeIfAbsent(row.toString(), k -> row);
                    add(first, one);
                }
            }
        }
        List<Map<String, Object>> rows = new ArrayList<>();
        items.forEach((key, versions) -> {
            rows.addAll(versions.values());
            Map<String, Object> any = versions.values().iterator().next();
            Map<String, Object> none =
                    JsonCodec.map("table", any.get("table"), "name", any.get("name"), "version", "-");
            heard.stream().filter(one -> !holders.get(key).contains(one.at())).forEach(one -> add(none, one));
            if (none.containsKey("who")) {
                rows.add(none);
            }
        });
        return rows;
    }

    private static void add(Map<String, Object> row, NodeResponse said) {
        row.merge("count", 1L, (a, b) -> (Long) a + (Long) b);
        row.merge("who", said.name().isEmpty() ? said.at() : said.name(), (a, b) -> a + "," + b);
    }
}
