package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code fleet}: the proxies and servers that a controller or a proxy knows. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "List proxies and servers. A controller lists the registered proxies; a proxy lists servers, and "
                + "for each whether it has a connection (connected), is waiting for overdue responses (unresponsive) "
                + "and sends requests there (selected).")
public final class FleetCommand extends QueryCommand {

    private static final List<Column> COLUMNS = List.of(
            Column.of("proxy", NodeState.INSTANCE_PROXY),
            Column.of("zone"),
            Column.of("service"),
            Column.of("server"),
            Column.of("slots"),
            Column.of("draining"),
            Column.of("shuttingDown", NodeState.SHUTTING_DOWN),
            Column.of("connected", NodeState.CONNECTED),
            Column.of("unresponsive", NodeState.UNRESPONSIVE),
            Column.of("selected", NodeState.SELECTED),
            Column.of("ageMs"));
    /** Fields of a registration that only the JSON output has. */
    private static final List<String> JSON_ONLY = List.of(NodeState.NAME, NodeState.ADDRESS, NodeState.CONTROL_ADDRESS);

    @Override
    public List<String> columns() {
        return Column.titles(COLUMNS);
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> registration : state.objects(NodeState.REGISTRATIONS)) {
            rows.add(registrationRow(registration));
        }
        Map<String, Object> services = state.object(NodeState.SERVICES);
        for (String service : services.keySet()) {
            for (Map<String, Object> server : NodeState.objects(services, service)) {
                Map<String, Object> row = JsonCodec.map("service", service);
                row.putAll(Column.row(COLUMNS, server));
                rows.add(row);
            }
        }
        return rows;
    }

    private static Map<String, Object> registrationRow(Map<String, Object> registration) {
        Map<String, Object> row = JsonCodec.map("proxy", registration.get(NodeState.NAME));
        row.putAll(Column.row(COLUMNS, registration));
        for (String field : JSON_ONLY) {
            if (registration.containsKey(field)) {
                row.put(field, registration.get(field));
            }
        }
        return row;
    }
}
