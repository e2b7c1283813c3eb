package org.cypressweir.dataplane.quota;

/**
 * Use of a tenant's limit at one proxy, for operators.
 *
 * @param ratePerSecond the share of the tenant's limit that the proxy earns by itself
 * @param tokens how many requests the proxy could admit at once now
 * @param admitted requests since the start of the process
 * @param rejected requests since the start of the process
 */
public record TenantUsage(double ratePerSecond, double tokens, long admitted, long rejected) {}
