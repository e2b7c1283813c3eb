package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code diff A B}: what two processes see differently. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "What two processes see differently: stamp, items, pilots and servers; of two pilots "
                + "also which harbours they hear and which servers they choose from, of two harbours the "
                + "crew. What one of them does not know is empty there.",
        footer = "Exit status: 5 where they differ.")
final class DiffCommand extends Query {

    @Parameters(index = "0", paramLabel = "A", description = "A controlPlane address.")
    private String first;

    @Parameters(index = "1", paramLabel = "B")
    private String second;

    @Override
    boolean items() {
        return true;
    }

    @Override
    List<String> addresses() {
        return List.of(first, second);
    }

    @Override
    boolean isOfEach() {
        return false;
    }

    @Override
    List<String> columns() {
        return List.of("what", "a", "b");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        return List.of();
    }

    @Override
    List<Map<String, Object>> table(List<NodeResponse> heard) {
        List<Map<String, Object>> rows = new ArrayList<>();
        if (heard.size() < 2) {
            return rows;
        }
        Map<String, Object> a = heard.get(0).state();
        Map<String, Object> b = heard.get(1).state();
        boolean alike = Objects.equals(a.get("kind"), b.get("kind"));
        Map<String, String> left = facts(a, alike);
        Map<String, String> right = facts(b, alike);
        TreeSet<String> all = new TreeSet<>(left.keySet());
        all.addAll(right.keySet());
        for (String what : all) {
            if (!Objects.equals(left.get(what), right.get(what))) {
                rows.add(JsonCodec.map("what", what, "a", left.get(what), "b", right.get(what)));
            }
        }
        return rows;
    }

    /** @param alike whether both are of one kind: then also what only that kind knows */
    private static Map<String, String> facts(Map<String, Object> state, boolean alike) {
        Map<String, String> facts = new TreeMap<>();
        facts.put("stamp", TablePrinter.text(state.get("stamp")));
        for (Map<String, Object> item : objects(state, "list")) {
            facts.put(
                    "item " + item.get("table") + "." + item.get("name"),
                    TablePrinter.text(item.get("version"))
                            + (Boolean.TRUE.equals(item.get("withdrawn")) ? " withdrawn" : ""));
        }
        objects(state, "berths").forEach(one -> {
            facts.put("pilot " + one.get("name"), TablePrinter.text(one.get("address")));
            server(one, TablePrinter.text(one.get("name")), TablePrinter.text(one.get("service")), facts);
        });
        objects(state, "pilots")
                .forEach(one -> facts.put("pilot " + one.get("name"), TablePrinter.text(one.get("address"))));
        JsonCodec.object(state, "services")
                .forEach((service, list) -> objects(JsonCodec.object(state, "services"), service)
                        .forEach(one -> {
                            server(one, TablePrinter.text(one.get("pilot")), service, facts);
                            if (alike) {
                                facts.put("chosen " + one.get("server"), TablePrinter.text(one.get("chosen")));
                            }
                        }));
        if (alike) {
            facts.put("crew", String.join(",", new TreeSet<>(crew(state))));
            if (state.get("kind").equals("pilot")) {
                objects(state, "harbours")
                        .forEach(one ->
                                facts.put("heard harbour " + one.get("address"), TablePrinter.text(one.get("heard"))));
            }
        }
        return facts;
    }

    private static List<String> crew(Map<String, Object> state) {
        return state.get("crew") instanceof List<?> list
                ? list.stream().map(TablePrinter::text).toList()
                : List.of();
    }

    private static void server(Map<String, Object> one, String pilot, String service, Map<String, String> facts) {
        String id = TablePrinter.text(one.get("server"));
        if (!id.isEmpty()) {
            facts.put(
                    "server " + id,
                    service + " at " + pilot + ", " + TablePrinter.text(one.get("slots"))
                            + " slots" + (Boolean.TRUE.equals(one.get("draining")) ? ", drains" : "")
                            + (Boolean.TRUE.equals(one.get("leaving")) ? ", leaves" : ""));
        }
    }

    @Override
    int status(TablePrinter sheet) {
        return sheet.rows().isEmpty() ? MeshCtl.DONE : MeshCtl.DIFFERENT;
    }
}
