package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code fleet}: pilots and servers, as a harbour or a pilot knows them. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Pilots and servers. A harbour lists pilots; a pilot lists servers, and says of each "
                + "whether it has a line (line), awaits answers in vain (silent) and sends there (chosen).")
final class FleetCommand extends Query {

    @Override
    List<String> columns() {
        return List.of(
                "pilot",
                "zone",
                "service",
                "server",
                "slots",
                "draining",
                "leaving",
                "line",
                "silent",
                "chosen",
                "ageMs");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        for (Map<String, Object> berth : objects(state, "berths")) {
            Map<String, Object> row = JsonCodec.map("pilot", berth.get("name"));
            row.putAll(berth);
            rows.add(row);
        }
        Map<String, Object> services = JsonCodec.object(state, "services");
        services.keySet().forEach(service -> objects(services, service).forEach(server -> {
            Map<String, Object> row = JsonCodec.map("service", service);
            row.putAll(server);
            rows.add(row);
        }));
        return rows;
    }
}
