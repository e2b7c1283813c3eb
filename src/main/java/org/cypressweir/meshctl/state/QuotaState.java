package org.cypressweir.meshctl.state;

import java.util.List;

/**
 * The demand of tenants that a process reports, in requests per second.
 *
 * @param fleetDemand at a controller: the demand of the whole fleet
 * @param tenants at a proxy: its own demand
 */
public record QuotaState(List<TenantDemand> fleetDemand, List<TenantQuota> tenants) {

    /** The demand of one tenant. */
    public record TenantDemand(String tenant, JsonValue demand) {}

    /** The demand of one tenant at a proxy, with its limits. */
    public record TenantQuota(JsonValue tenant, JsonValue demand, JsonValue rate, JsonValue burst) {}
}
