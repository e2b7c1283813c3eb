package org.cypressweir.meshctl.command;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.meshctl.state.JsonValue;
import org.cypressweir.meshctl.state.NodeKind;
import org.cypressweir.meshctl.state.NodeState;
import org.cypressweir.meshctl.state.QuotaState.TenantDemand;
import org.cypressweir.meshctl.state.QuotaState.TenantQuota;
import picocli.CommandLine.Command;

/** {@code quotas}: the demand of tenants. */
@Command(
        name = "quotas",
        mixinStandardHelpOptions = true,
        versionProvider = Version.class,
        description = "Show the demand of tenants in requests per second: a controller shows that of the whole "
                + "fleet; a proxy shows its own, with the tenant's rate limit and burst size.")
public final class QuotasCommand extends QueryCommand {

    private static final List<Column<TenantQuota>> TENANT_COLUMNS = List.of(
            new Column<>("tenant", TenantQuota::tenant),
            new Column<>("demand", TenantQuota::demand),
            new Column<>("rate", TenantQuota::rate),
            new Column<>("burst", TenantQuota::burst));

    @Override
    boolean queriesFleet() {
        return true;
    }

    @Override
    public List<String> columns() {
        return List.of("kind", "tenant", "demand", "rate", "burst");
    }

    @Override
    List<Row> rows(NodeState state) {
        JsonValue kind = NodeKind.displayName(state.kind());
        List<Row> rows = new ArrayList<>();
        for (TenantDemand tenant : state.quotas().fleetDemand()) {
            rows.add(new Row().put("kind", kind).put("tenant", tenant.tenant()).put("demand", tenant.demand()));
        }
        for (TenantQuota tenant : state.quotas().tenants()) {
            rows.add(new Row().put("kind", kind).putAll(Column.row(TENANT_COLUMNS, tenant)));
        }
        return rows;
    }
}
