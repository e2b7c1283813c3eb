package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import picocli.CommandLine.Command;

/** {@code quotas}: the demand of tenants. */
@Command(
        name = "quotas",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the demand of tenants in requests per second: a controller shows that of the whole "
                + "fleet; a proxy shows its own, with the tenant's rate limit and burst size.")
public final class QuotasCommand extends QueryCommand {

    private static final List<Column> TENANT_FIELDS =
            List.of(Column.of("tenant"), Column.of("demand", "asked"), Column.of("rate"), Column.of("burst"));

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of("kind", "tenant", "demand", "rate", "burst");
    }

    @Override
    List<Map<String, Object>> rows(NodeState state) {
        Object kind = NodeKind.displayName(state.get(NodeState.KIND));
        List<Map<String, Object>> rows = new ArrayList<>();
        state.object(NodeState.DEMAND)
                .forEach((tenant, demand) -> rows.add(JsonCodec.map("kind", kind, "tenant", tenant, "demand", demand)));
        for (Map<String, Object> tenant : state.objects(NodeState.TENANTS)) {
            Map<String, Object> row = JsonCodec.map("kind", kind);
            row.putAll(Column.row(TENANT_FIELDS, tenant));
            rows.add(row);
        }
        return rows;
    }
}
