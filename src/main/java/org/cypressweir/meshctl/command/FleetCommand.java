package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.meshctl.state.ApplicationInstance;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.Registration;
import org.cypressweir.meshctl.state.ReportedProcess;
import org.cypressweir.meshctl.state.ServiceInstances;
import picocli.CommandLine.Command;

/** {@code fleet}: the proxies and servers known to a controller or a proxy. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "List proxies and servers. A controller lists the registered proxies; a proxy lists servers, and "
                + "for each whether it has a connection (connected), is waiting for overdue responses (unresponsive) "
                + "and sends requests there (selected).")
public final class FleetCommand extends QueryCommand {

    private static final List<Column<ApplicationInstance>> COLUMNS = List.of(
            new Column<>("proxy", ApplicationInstance::proxy),
            new Column<>("zone", ApplicationInstance::zone),
            new Column<>("service", ApplicationInstance::service),
            new Column<>("server", ApplicationInstance::server),
            new Column<>("slots", ApplicationInstance::slots),
            new Column<>("draining", ApplicationInstance::draining),
            new Column<>("shuttingDown", ApplicationInstance::shuttingDown),
            new Column<>("connected", ApplicationInstance::connected),
            new Column<>("unresponsive", ApplicationInstance::unresponsive),
            new Column<>("selected", ApplicationInstance::selected),
            new Column<>("ageMs", ApplicationInstance::ageMillis));

    @Override
    public List<String> columns() {
        return Column.titles(COLUMNS);
    }

    @Override
    List<Row> rows(NodeState state) {
        List<Row> rows = new ArrayList<>();
        for (Registration registration : state.knownProcesses().registrations()) {
            rows.add(registrationRow(registration));
        }
        for (ServiceInstances service : state.services()) {
            for (ApplicationInstance instance : service.instances()) {
                rows.add(new Row().put("service", service.service()).putAll(Column.row(COLUMNS, instance)));
            }
        }
        return rows;
    }

    private static Row registrationRow(Registration registration) {
        ReportedProcess proxy = registration.process();
        Row row = new Row().put("proxy", proxy.name()).putAll(Column.row(COLUMNS, registration.instance()));
        putJsonOnly(row, "name", proxy.name());
        putJsonOnly(row, "address", proxy.address());
        putJsonOnly(row, "control", proxy.controlAddress());
        return row;
    }

    /** Adds a field that no column shows, but that scripts read from the JSON output. */
    private static void putJsonOnly(Row row, String name, JsonValue value) {
        if (!value.isAbsent()) {
            row.putNullable(name, value);
        }
    }
}
