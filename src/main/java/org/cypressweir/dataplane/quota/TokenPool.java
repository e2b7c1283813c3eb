package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Tokens that proxies did not need, by tenant, kept at one controller for proxies that need more than their own share
 * of a limit. A pool only keeps what it was given and creates no tokens: it is empty after a restart of its controller,
 * and any number of controllers may have one. Not thread-safe.
 */
public final class TokenPool {

    /** The fraction of the burst that the pools of all controllers together may keep. */
    private static final double KEPT_BURST_FRACTION = 0.5;

    /**
     * The fraction of the slack that pools may keep in addition: a small burst alone leaves each of them very little.
     */
    private static final double KEPT_SLACK_FRACTION = 0.5;

    private Map<String, TenantLimit> limits = Map.of();
    private final Map<String, Integer> tokensByTenant = new HashMap<>();
    private final double slack;
    private int controllerCount = 1;

    /** @param slack how many requests beyond the limit operators tolerate within a window */
    public TokenPool(double slack) {
        this.slack = slack;
    }

    /** Applies the limits of a new configuration and the number of controllers that have a pool. */
    public void update(Map<String, TenantLimit> nextLimits, int nextControllerCount) {
        limits = Map.copyOf(nextLimits);
        controllerCount = Math.max(1, nextControllerCount);
        tokensByTenant.replaceAll((tenant, tokens) -> Math.min(tokens, maxKept(tenant)));
        tokensByTenant.values().removeIf(tokens -> tokens <= 0);
    }

    private int maxKept(String tenant) {
        TenantLimit limit = limits.get(tenant);
        if (limit == null || !limit.isLimited()) {
            return 0;
        }
        double kept = KEPT_BURST_FRACTION * limit.burst() + KEPT_SLACK_FRACTION * slack;
        return (int) Math.max(1, kept / controllerCount);
    }

    /** Adds a proxy's surplus; tokens beyond the maximum that is kept are lost. */
    public void add(Map<String, Integer> surplusByTenant) {
        surplusByTenant.forEach((tenant, surplus) -> {
            int tokens = Math.min(maxKept(tenant), tokens(tenant) + Math.max(0, surplus));
            if (tokens > 0) {
                tokensByTenant.put(tenant, tokens);
            }
        });
    }

    /** Takes out as many tokens as are wanted, or all if there are fewer. */
    public int take(String tenant, int wanted) {
        int taken = Math.min(Math.max(0, wanted), tokens(tenant));
        if (taken > 0) {
            tokensByTenant.put(tenant, tokens(tenant) - taken);
        }
        return taken;
    }

    /** The number of tokens of the tenant. */
    public int tokens(String tenant) {
        return tokensByTenant.getOrDefault(tenant, 0);
    }
}
