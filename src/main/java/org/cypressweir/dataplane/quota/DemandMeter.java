package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Measures the demand of tenants at one proxy, in requests per second, with exponentially decaying counts. Not
 * thread-safe; times are microseconds of one monotonic clock.
 */
public final class DemandMeter {

    private static final double MICROS_PER_SECOND = 1e6;

    /** Time constant of the exponential decay. */
    private static final double DECAY_MICROS = 1_000_000;

    /** Demand below this counts as none. */
    private static final double MIN_DEMAND = 0.05;

    /** Demand is reported again if it has changed by more than this fraction of the reported value ... */
    private static final double REPORTED_CHANGE_FRACTION = 0.15;

    /** ... and by more than this, in requests per second. */
    private static final double REPORTED_CHANGE = 0.5;

    private static final class Count {
        private double decayingCount;
        private long countedAt;
        private double reportedDemand;

        private double at(long nowMicros) {
            return decayingCount * Math.exp(-(nowMicros - countedAt) / DECAY_MICROS);
        }
    }

    private final Map<String, Count> countsByTenant = new HashMap<>();

    /** Counts a request of the tenant that has arrived. */
    public void count(long nowMicros, String tenant) {
        Count count = countsByTenant.computeIfAbsent(tenant, name -> new Count());
        count.decayingCount = count.at(nowMicros) + 1;
        count.countedAt = nowMicros;
    }

    /** The demand of one tenant. */
    public double demand(long nowMicros, String tenant) {
        Count count = countsByTenant.get(tenant);
        return count == null ? 0 : demand(nowMicros, count);
    }

    private static double demand(long nowMicros, Count count) {
        return count.at(nowMicros) / DECAY_MICROS * MICROS_PER_SECOND;
    }

    /** The demand of each tenant; tenants without any are left out. */
    public Map<String, Double> demand(long nowMicros) {
        Map<String, Double> demandByTenant = new TreeMap<>();
        countsByTenant.forEach((tenant, count) -> {
            double demand = demand(nowMicros, count);
            if (demand > MIN_DEMAND) {
                demandByTenant.put(tenant, round(demand));
            }
        });
        return demandByTenant;
    }

    /**
     * Returns the demand to report to the controllers, either the noticeable changes or all of it, and marks it as
     * reported. If only changes are reported, a tenant whose demand has ended is included once, with 0.
     */
    public Map<String, Double> takeChangedDemand(long nowMicros, boolean all) {
        Map<String, Double> changed = new TreeMap<>();
        countsByTenant.forEach((tenant, count) -> {
            double exact = demand(nowMicros, count);
            double demand = exact > MIN_DEMAND ? round(exact) : 0;
            if (all ? demand > 0 : isReportable(count, demand)) {
                changed.put(tenant, demand);
                count.reportedDemand = demand;
            } else if (all) {
                count.reportedDemand = 0;
            }
        });
        return changed;
    }

    private static boolean isReportable(Count count, double demand) {
        double threshold = Math.max(REPORTED_CHANGE_FRACTION * count.reportedDemand, REPORTED_CHANGE);
        return Math.abs(demand - count.reportedDemand) > threshold || demand == 0 && count.reportedDemand > 0;
    }

    /** Rounds to two decimals. */
    private static double round(double demand) {
        return Math.round(demand * 100) / 100.0;
    }
}
