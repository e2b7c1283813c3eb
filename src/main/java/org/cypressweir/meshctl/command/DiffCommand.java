package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** {@code diff A B}: the facts that two processes disagree about. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Compare two processes: proposal number, items, proxies and servers; of two proxies also which "
                + "controllers they reach and which servers they select, of two controllers the voters. A fact that "
                + "one of them does not know is blank there.",
        footer = "Exit status: 5 if they differ.")
public final class DiffCommand extends QueryCommand {

    private static final int COMPARED_PROCESSES = 2;

    @Parameters(index = "0", paramLabel = "A", description = "A controlPlane address.")
    private String first;

    @Parameters(index = "1", paramLabel = "B", description = "A controlPlane address.")
    private String second;

    @Override
    boolean needsItems() {
        return true;
    }

    @Override
    List<String> addresses() {
        return List.of(first, second);
    }

    @Override
    boolean rowsHaveAddress() {
        return false;
    }

    @Override
    public List<String> columns() {
        return List.of("fact", "a", "b");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        return List.of();
    }

    @Override
    List<Map<String, Object>> combinedRows(List<NodeResponse> responses) {
        List<Map<String, Object>> rows = new ArrayList<>();
        if (responses.size() < COMPARED_PROCESSES) {
            return rows;
        }
        NodeState a = responses.get(0).state();
        NodeState b = responses.get(1).state();
        boolean sameKind = Objects.equals(a.get(NodeState.KIND), b.get(NodeState.KIND));
        Map<String, String> factsOfA = facts(a, sameKind);
        Map<String, String> factsOfB = facts(b, sameKind);
        TreeSet<String> all = new TreeSet<>(factsOfA.keySet());
        all.addAll(factsOfB.keySet());
        for (String fact : all) {
            if (!Objects.equals(factsOfA.get(fact), factsOfB.get(fact))) {
                rows.add(JsonCodec.map("fact", fact, "a", factsOfA.get(fact), "b", factsOfB.get(fact)));
            }
        }
        return rows;
    }

    /** @param sameKind whether both processes are of one kind: then also what only that kind knows */
    private static Map<String, String> facts(NodeState state, boolean sameKind) {
        Map<String, String> facts = new TreeMap<>();
        facts.put("proposal", TablePrinter.text(state.get(NodeState.PROPOSAL)));
        addItems(state, facts);
        addProxies(state, facts);
        addServers(state, sameKind, facts);
        if (sameKind) {
            facts.put("voters", String.join(",", new TreeSet<>(voters(state))));
        }
        if (sameKind && state.is(NodeKind.PROXY)) {
            for (Map<String, Object> controller : state.objects(NodeState.CONTROLLERS)) {
                facts.put(
                        "reachable controller " + controller.get(NodeState.ADDRESS),
                        text(controller, NodeState.REACHABLE));
            }
        }
        return facts;
    }

    private static void addItems(NodeState state, Map<String, String> facts) {
        for (Map<String, Object> item : state.objects(NodeState.ITEMS)) {
            String withdrawn = Boolean.TRUE.equals(item.get("withdrawn")) ? " withdrawn" : "";
            facts.put("item " + item.get("table") + "." + item.get("name"), text(item, "version") + withdrawn);
        }
    }

    private static void addProxies(NodeState state, Map<String, String> facts) {
        for (Map<String, Object> proxy : state.objects(NodeState.REGISTRATIONS)) {
            facts.put("proxy " + proxy.get(NodeState.NAME), text(proxy, NodeState.ADDRESS));
            addServer(proxy, text(proxy, NodeState.NAME), text(proxy, "service"), facts);
        }
        for (Map<String, Object> proxy : state.objects(NodeState.PROXIES)) {
            facts.put("proxy " + proxy.get(NodeState.NAME), text(proxy, NodeState.ADDRESS));
        }
    }

    private static void addServers(NodeState state, boolean sameKind, Map<String, String> facts) {
        Map<String, Object> services = state.object(NodeState.SERVICES);
        for (String service : services.keySet()) {
            for (Map<String, Object> server : NodeState.objects(services, service)) {
                addServer(server, text(server, NodeState.INSTANCE_PROXY), service, facts);
                if (sameKind) {
                    facts.put("selected " + server.get("server"), text(server, NodeState.SELECTED));
                }
            }
        }
    }

    private static void addServer(Map<String, Object> server, String proxy, String service, Map<String, String> facts) {
        String id = text(server, "server");
        if (id.isEmpty()) {
            return;
        }
        String draining = Boolean.TRUE.equals(server.get("draining")) ? ", draining" : "";
        String shuttingDown = Boolean.TRUE.equals(server.get(NodeState.SHUTTING_DOWN)) ? ", shutting down" : "";
        String slots = text(server, "slots") + " slots";
        facts.put("server " + id, service + " at " + proxy + ", " + slots + draining + shuttingDown);
    }

    private static List<String> voters(NodeState state) {
        return state.get(NodeState.VOTERS) instanceof List<?> list
                ? list.stream().map(TablePrinter::text).toList()
                : List.of();
    }

    private static String text(Map<String, Object> fields, String name) {
        return TablePrinter.text(fields.get(name));
    }

    @Override
    int exitStatus(TablePrinter table) {
        return table.rows().isEmpty() ? ExitStatus.OK : ExitStatus.DIFFERENT;
    }
}
