package org.cypressweir.meshctl.command;

import java.util.List;
import org.cypressweir.meshctl.state.ControllerPeer;
import org.cypressweir.meshctl.state.NodeKind;
import org.cypressweir.meshctl.state.NodeState;
import picocli.CommandLine.Command;

/** {@code replicas}: the configuration in force at each process, and the health of the controllers' replicas. */
@Command(
        name = "replicas",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the proposal number of the configuration in force at each process; of controllers also "
                + "the state of the replica, and how many other controllers are reachable.")
public final class ReplicasCommand extends QueryCommand {

    private static final List<Column<NodeState>> COLUMNS = List.of(
            new Column<>("kind", state -> NodeKind.displayName(state.kind())),
            new Column<>("name", state -> state.process().name()),
            new Column<>("proposal", state -> state.replica().proposal()),
            new Column<>("items", state -> state.replica().itemCount()),
            new Column<>("storeOpen", state -> state.replica().storeOpen()),
            new Column<>("stateLost", state -> state.replica().stateLost()),
            new Column<>("unhealthy", state -> state.replica().unhealthy()),
            new Column<>("quorumContact", state -> state.replica().quorumContact()),
            new Column<>("confirmedMs", state -> state.replica().confirmedMillis()),
            new Column<>("voters", state -> state.replica().voters()),
            new Column<>("reachable", state -> state.replica().reachable()));

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return Column.titles(COLUMNS);
    }

    @Override
    List<Row> rows(NodeState state) {
        Row row = Column.row(COLUMNS, state);
        List<ControllerPeer> controllers = state.knownProcesses().controllers();
        if (!controllers.isEmpty()) {
            long reachable = controllers.stream()
                    .filter(controller -> controller.reachable().isTrue())
                    .count();
            row.put("reachable", reachable + "/" + controllers.size());
        }
        return List.of(row);
    }
}
