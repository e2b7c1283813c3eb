package org.cypressweir.meshctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code tallies}: what tenants ask. */
@Command(
        name = "tallies",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Requests a second that tenants ask for: at a harbour of the whole fleet, at a pilot "
                + "there, with the tenant's rate and burst.")
final class QuotasCommand extends Query {

    @Override
    boolean wide() {
        return true;
    }

    @Override
    List<String> columns() {
        return List.of("kind", "tenant", "asked", "rate", "burst");
    }

    @Override
    List<Map<String, Object>> rows(Map<String, Object> state) {
        List<Map<String, Object>> rows = new ArrayList<>();
        JsonCodec.object(state, "tallies")
                .forEach((tenant, asked) ->
                        rows.add(JsonCodec.map("kind", state.get("kind"), "tenant", tenant, "asked", asked)));
        for (Map<String, Object> tenant : objects(state, "tenants")) {
            Map<String, Object> row = JsonCodec.map("kind", state.get("kind"));
            row.putAll(tenant);
            rows.add(row);
        }
        return rows;
    }
}
