package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cypressweir.meshctl.state.ApplicationInstance;
import org.cypressweir.meshctl.state.ControllerPeer;
import org.cypressweir.meshctl.state.Item;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.NodeKind;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.Registration;
import org.cypressweir.meshctl.state.ReportedProcess;
import org.cypressweir.meshctl.state.ServiceInstances;
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
    List<Row> rows(NodeState state) {
        return List.of();
    }

    @Override
    List<Row> combinedRows(List<NodeResponse> responses) {
        List<Row> rows = new ArrayList<>();
        if (responses.size() < COMPARED_PROCESSES) {
            return rows;
        }
        NodeState a = responses.get(0).state();
        NodeState b = responses.get(1).state();
        boolean sameKind = a.kind().equals(b.kind());
        Map<String, String> factsOfA = facts(a, sameKind);
        Map<String, String> factsOfB = facts(b, sameKind);
        TreeSet<String> all = new TreeSet<>(factsOfA.keySet());
        all.addAll(factsOfB.keySet());
        for (String fact : all) {
            if (!Objects.equals(factsOfA.get(fact), factsOfB.get(fact))) {
                rows.add(
                        new Row().put("fact", fact).put("a", factsOfA.get(fact)).put("b", factsOfB.get(fact)));
            }
        }
        return rows;
    }

    /** @param sameKind whether both processes are of the same kind; adds the facts that only this kind knows */
    private static Map<String, String> facts(NodeState state, boolean sameKind) {
        Map<String, String> facts = new TreeMap<>();
        facts.put("proposal", state.replica().proposal().display());
        addItems(state, facts);
        addProxies(state, facts);
        addServers(state, sameKind, facts);
        if (sameKind) {
            facts.put("voters", String.join(",", new TreeSet<>(voters(state))));
        }
        if (sameKind && state.is(NodeKind.PROXY)) {
            for (ControllerPeer controller : state.knownProcesses().controllers()) {
                facts.put(
                        "reachable controller " + controller.process().address(),
                        controller.reachable().display());
            }
        }
        return facts;
    }

    private static void addItems(NodeState state, Map<String, String> facts) {
        for (Item item : state.items()) {
            String withdrawn = item.withdrawn().isTrue() ? " withdrawn" : "";
            facts.put("item " + item.type() + "." + item.name(), item.version().display() + withdrawn);
        }
    }

    private static void addProxies(NodeState state, Map<String, String> facts) {
        for (Registration registration : state.knownProcesses().registrations()) {
            ReportedProcess proxy = registration.process();
            ApplicationInstance instance = registration.instance();
            addProxy(proxy, facts);
            addServer(instance, proxy.name(), instance.service().display(), facts);
        }
        for (ReportedProcess proxy : state.knownProcesses().proxies()) {
            addProxy(proxy, facts);
        }
    }

    private static void addProxy(ReportedProcess proxy, Map<String, String> facts) {
        facts.put("proxy " + proxy.name(), proxy.address().display());
    }

    private static void addServers(NodeState state, boolean sameKind, Map<String, String> facts) {
        for (ServiceInstances service : state.services()) {
            for (ApplicationInstance instance : service.instances()) {
                addServer(instance, instance.proxy(), service.service(), facts);
                if (sameKind) {
                    facts.put(
                            "selected " + instance.server(), instance.selected().display());
                }
            }
        }
    }

    private static void addServer(
            ApplicationInstance instance, JsonValue proxyName, String service, Map<String, String> facts) {
        String server = instance.server().display();
        if (server.isEmpty()) {
            return;
        }
        String draining = instance.draining().isTrue() ? ", draining" : "";
        String shuttingDown = instance.shuttingDown().isTrue() ? ", shutting down" : "";
        String slots = instance.slots().display() + " slots";
        facts.put("server " + server, service + " at " + proxyName.display() + ", " + slots + draining + shuttingDown);
    }

    private static List<String> voters(NodeState state) {
        return state.replica().voters().elements().stream()
                .map(JsonValue::display)
                .toList();
    }

    @Override
    int exitStatus(TablePrinter table) {
        return table.rows().isEmpty() ? ExitStatus.OK : ExitStatus.DIFFERENT_OR_REJECTED;
    }
}
