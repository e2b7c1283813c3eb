package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.TenantConfiguration;

/**
 * A tenant's rate limit over all proxies.
 *
 * @param ratePerSecond requests per second; no limit if 0 or below
 * @param burst requests that may arrive at once
 */
public record TenantLimit(double ratePerSecond, double burst) {

    public static TenantLimit of(TenantConfiguration tenant) {
        return new TenantLimit(tenant.ratePerSecond(), tenant.burst());
    }

    /** The limits of a configuration's tenants, by name. */
    public static Map<String, TenantLimit> all(Configuration configuration) {
        Map<String, TenantLimit> limits = new HashMap<>();
        for (TenantConfiguration tenant : TenantConfiguration.all(configuration)) {
            limits.put(tenant.name(), of(tenant));
        }
        return limits;
    }

    /** Whether the rate is limited at all. */
    public boolean isLimited() {
        return ratePerSecond > 0;
    }
}
