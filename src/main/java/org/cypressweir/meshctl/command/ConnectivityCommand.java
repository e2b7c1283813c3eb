package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Json;
import picocli.CommandLine.Command;

/** {@code connectivity}: which processes reach which others. */
@Command(
        name = "connectivity",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show who monitors whom, and the status of each peer: reachable, unresponsive, down (connection "
                + "refused or lost) or lost (removed since its heartbeats stopped without a graceful shutdown).")
public final class ConnectivityCommand extends QueryCommand {

    /** A peer that sent nothing for longer is shown as unresponsive. */
    private static final long UNRESPONSIVE_AFTER_MILLIS = 6_000;

    private static final String REACHABLE = "reachable";
    private static final String UNRESPONSIVE = "unresponsive";
    private static final String DOWN = "down";
    private static final String LOST = "lost";
    private static final String AGE = "ageMs";

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of("name", "kind", "peer", "address", "status", AGE);
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> peer : state.objects(NodeState.CONTROLLERS)) {
            String status = Json.flag(peer, NodeState.REACHABLE) ? REACHABLE : UNRESPONSIVE;
            rows.add(row(state, NodeKind.CONTROLLER.displayName(), peer, status, null));
        }
        for (Map<String, Object> peer : state.objects(NodeState.PEERS)) {
            rows.add(row(state, NodeKind.PROXY.displayName(), peer, connectionStatus(peer), peer.get(AGE)));
        }
        for (Map<String, Object> peer : state.objects(NodeState.REGISTRATIONS)) {
            rows.add(row(state, proxyName(peer), peer, statusByAge(peer.get(AGE)), peer.get(AGE)));
        }
        for (Map<String, Object> peer : state.objects(NodeState.LOST_PROXIES)) {
            rows.add(row(state, proxyName(peer), peer, LOST, peer.get(NodeState.LOST_MILLIS)));
        }
        return rows;
    }

    private static String proxyName(Map<String, Object> peer) {
        return NodeKind.PROXY.displayName() + " " + peer.get(NodeState.NAME);
    }

    private static String connectionStatus(Map<String, Object> peer) {
        boolean connected = Json.flag(peer, NodeState.CONNECTED) && !Json.flag(peer, "down");
        return connected ? statusByAge(peer.get(AGE)) : DOWN;
    }

    private static String statusByAge(Object ageMillis) {
        return ageMillis instanceof Number number && number.longValue() <= UNRESPONSIVE_AFTER_MILLIS
                ? REACHABLE
                : UNRESPONSIVE;
    }

    private static Map<String, Object> row(
            NodeState state, String peerName, Map<String, Object> peer, String status, Object ageMillis) {
        Map<String, Object> row = JsonCodec.map("name", state.get(NodeState.NAME));
        row.put("kind", NodeKind.displayName(state.get(NodeState.KIND)));
        row.put("peer", peerName);
        row.put("address", peer.get(NodeState.ADDRESS));
        row.put("status", status);
        if (ageMillis != null) {
            row.put("ageMs", ageMillis);
        }
        return row;
    }
}
