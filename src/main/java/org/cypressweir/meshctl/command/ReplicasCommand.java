package org.cypressweir.meshctl.command;

import java.util.List;
import java.util.Map;
import org.cypressweir.common.util.Json;
import picocli.CommandLine.Command;

/** {@code replicas}: the configuration in force at each process, and the health of the controllers' replicas. */
@Command(
        name = "replicas",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the proposal number of the configuration in force at each process; of controllers also "
                + "the state of the replica, and how many other controllers are reachable.")
public final class ReplicasCommand extends QueryCommand {

    private static final List<Column> COLUMNS = List.of(
            Column.of("kind", NodeState.KIND),
            Column.of("name", NodeState.NAME),
            Column.of("proposal", NodeState.PROPOSAL),
            Column.of("items"),
            Column.of("storeOpen", "open"),
            Column.of("stateLost", "forgetful"),
            Column.of("unhealthy", "sick"),
            Column.of("quorumContact", "inContact"),
            Column.of("confirmedMs"),
            Column.of("voters", NodeState.VOTERS),
            Column.of("reachable", NodeState.REACHABLE));

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return Column.titles(COLUMNS);
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        Map<String, Object> row = Column.row(COLUMNS, state.fields());
        row.computeIfPresent("kind", (column, kind) -> NodeKind.displayName(kind));
        List<Map<String, Object>> controllers = state.objects(NodeState.CONTROLLERS);
        if (!controllers.isEmpty()) {
            long reachable = controllers.stream()
                    .filter(controller -> Json.flag(controller, NodeState.REACHABLE))
                    .count();
            row.put("reachable", reachable + "/" + controllers.size());
        }
        return List.of(row);
    }
}
