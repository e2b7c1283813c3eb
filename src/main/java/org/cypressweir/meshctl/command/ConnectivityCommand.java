package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.meshctl.state.ControllerPeer;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.KnownProcesses;
import org.cypressweir.meshctl.state.LostProxy;
import org.cypressweir.meshctl.state.NodeKind;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.ProxyPeer;
import org.cypressweir.meshctl.state.Registration;
import org.cypressweir.meshctl.state.ReportedProcess;
import picocli.CommandLine.Command;

/** {@code connectivity}: which processes can reach which others. */
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
    List<Row> rows(NodeState state) {
        KnownProcesses known = state.knownProcesses();
        List<Row> rows = new ArrayList<>();
        for (ControllerPeer peer : known.controllers()) {
            String status = peer.reachable().isTrue() ? REACHABLE : UNRESPONSIVE;
            JsonValue address = peer.process().address();
            rows.add(row(state, NodeKind.CONTROLLER.displayName(), address, status, JsonValue.ABSENT));
        }
        for (ProxyPeer peer : known.peers()) {
            String name = NodeKind.PROXY.displayName();
            rows.add(row(state, name, peer.address(), connectionStatus(peer), peer.ageMillis()));
        }
        for (Registration peer : known.registrations()) {
            JsonValue ageMillis = peer.instance().ageMillis();
            rows.add(proxyRow(state, peer.process(), statusByAge(ageMillis), ageMillis));
        }
        for (LostProxy peer : known.lostProxies()) {
            rows.add(proxyRow(state, peer.process(), LOST, peer.lostMillis()));
        }
        return rows;
    }

    private static String connectionStatus(ProxyPeer peer) {
        boolean connected = peer.connected().isTrue() && !peer.down().isTrue();
        return connected ? statusByAge(peer.ageMillis()) : DOWN;
    }

    private static String statusByAge(JsonValue ageMillis) {
        boolean recent = ageMillis.isNumber() && ageMillis.longValue() <= UNRESPONSIVE_AFTER_MILLIS;
        return recent ? REACHABLE : UNRESPONSIVE;
    }

    private static Row proxyRow(NodeState state, ReportedProcess proxy, String status, JsonValue ageMillis) {
        String name = NodeKind.PROXY.displayName() + " " + proxy.name();
        return row(state, name, proxy.address(), status, ageMillis);
    }

    private static Row row(
            NodeState state, String peerName, JsonValue peerAddress, String status, JsonValue ageMillis) {
        return new Row()
                .put("name", state.process().name())
                .putNullable("kind", NodeKind.displayName(state.kind()))
                .put("peer", peerName)
                .putNullable("address", peerAddress)
                .put("status", status)
                .put(AGE, ageMillis);
    }
}
