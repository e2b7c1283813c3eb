package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums the demand of tenants, in requests per second, over the proxies that report to one controller. If a proxy stops
 * reporting, its last report still counts for a while, since the proxy may still be admitting requests; after a
 * disconnect it counts only briefly. Not thread-safe; times are microseconds of one monotonic clock.
 */
public final class DemandAggregator {

    /** How long a report counts. */
    private static final long REPORT_LIFETIME_MICROS = 8_000_000;

    /** How long the report of a disconnected proxy counts. */
    private static final long DISCONNECTED_LIFETIME_MICROS = 500_000;

    /** A total is published again if it has changed by more than this, in requests per second ... */
    private static final double PUBLISHED_CHANGE = 0.5;

    /** ... and by more than this fraction of the published value. */
    private static final double PUBLISHED_CHANGE_FRACTION = 0.05;

    private static final class Report {
        private final Map<String, Double> demandByTenant = new HashMap<>();
        private long expiresAtMicros;
    }

    private final Map<String, Report> reports = new HashMap<>();
    /** The last published totals, by tenant. */
    private final Map<String, Double> published = new HashMap<>();

    /**
     * Records a proxy's report.
     *
     * @param demandByTenant requests per second; a tenant without a positive number is removed
     * @param complete whether tenants missing from the report have no demand; otherwise their demand is unchanged
     */
    public void report(long nowMicros, String proxy, Map<?, ?> demandByTenant, boolean complete) {
        Report report = reports.computeIfAbsent(proxy, name -> new Report());
        if (complete) {
            report.demandByTenant.clear();
        }
        demandByTenant.forEach((tenant, demand) -> {
            if (demand instanceof Number number && number.doubleValue() > 0) {
                report.demandByTenant.put((String) tenant, number.doubleValue());
            } else {
                report.demandByTenant.remove(tenant);
            }
        });
        report.expiresAtMicros = nowMicros + REPORT_LIFETIME_MICROS;
    }

    /** The proxy's connection was closed. */
    public void disconnected(long nowMicros, String proxy) {
        Report report = reports.get(proxy);
        if (report != null) {
            report.expiresAtMicros = Math.min(report.expiresAtMicros, nowMicros + DISCONNECTED_LIFETIME_MICROS);
        }
    }

    /** The demand of each tenant over all proxies, in requests per second. */
    public Map<String, Double> totals(long nowMicros) {
        Map<String, Double> totals = new TreeMap<>();
        for (Iterator<Report> iterator = reports.values().iterator(); iterator.hasNext(); ) {
            Report report = iterator.next();
            if (report.expiresAtMicros < nowMicros) {
                iterator.remove();
            } else {
                report.demandByTenant.forEach((tenant, demand) -> totals.merge(tenant, demand, Double::sum));
            }
        }
        return totals;
    }

    /**
     * Returns the totals to publish, those that have changed noticeably or all of them, and marks them as published. A
     * tenant whose demand has ended is included once, with 0.
     */
    public Map<String, Double> takeChangedTotals(long nowMicros, boolean all) {
        Map<String, Double> totals = totals(nowMicros);
        Map<String, Double> changed = new TreeMap<>();
        totals.forEach((tenant, demand) -> {
            double before = published.getOrDefault(tenant, 0.0);
            double threshold = Math.max(PUBLISHED_CHANGE, PUBLISHED_CHANGE_FRACTION * before);
            if (all || Math.abs(demand - before) > threshold) {
                changed.put(tenant, Math.round(demand * 100) / 100.0);
            }
        });
        published.keySet().forEach(tenant -> {
            if (!totals.containsKey(tenant)) {
                changed.put(tenant, 0.0);
            }
        });
        published.putAll(changed);
        published.values().removeIf(demand -> demand == 0);
        return changed;
    }
}
