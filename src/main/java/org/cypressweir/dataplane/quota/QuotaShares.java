package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The shares of tenants' rate limits that one proxy may admit. Of a tenant's rate a proxy has the fraction of the
 * demand that it sees, and a little of what nobody asks for; a token bucket admits by it, with the same fraction of
 * the burst. Demand is reported to the controllers, which publish its totals over all proxies; without their updates
 * for some time the proxy restricts itself to a smaller share, since its last report stops counting for the others.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock, rates and demand are requests per second.
 */
public final class QuotaShares {

    private static final double MICROS_PER_SECOND = 1e6;

    /** Time constant of the exponentially decaying count of requests. */
    private static final double DEMAND_DECAY_MICROS = 1_000_000;

    /** The rate may exceed the share by this factor where others leave some of the limit. */
    private static final double SPARE_FACTOR = 1.4;

    /** The fraction of the burst that is shared out. */
    private static final double BURST_FACTOR = 0.8;

    /** A limit is scarce once the demand reaches this fraction of it. */
    private static final double SCARCE_FACTOR = 0.9;

    /** The demand of others is taken to be larger by this factor when their spare rate is used. */
    private static final double OTHERS_FACTOR = 1.1;

    /** Demand below this counts as none. */
    private static final double MIN_DEMAND = 0.05;

    private static final long STALE_AFTER_MICROS = 3_000_000;
    private static final long FORGOTTEN_AFTER_MICROS = 8_000_000;

    /** Of the fair share, as long as no total has ever been received. */
    private static final double UNINFORMED_FACTOR = 0.5;

    private static final double STALE_FACTOR = 0.7;
    private static final double FORGOTTEN_FACTOR = 0.5;

    /** A proxy without demand has the fair share divided by this. */
    private static final double MIN_SHARE_DIVISOR = 4;

    private static final double MIN_SHARE_DIVISOR_SCARCE = 16;

    /** How far the share may run ahead of the demand that the last total includes: by this factor ... */
    private static final double DEMAND_GROWTH_FACTOR = 1.25;

    /** ... and so much more. */
    private static final double DEMAND_GROWTH = 2;

    private static final long MIN_RETRY_MICROS = 10_000;
    private static final double MIN_REFILL_RATE = 0.1;

    /** Demand is reported again once it has changed by this fraction of the reported value ... */
    private static final double REPORTED_CHANGE_FRACTION = 0.15;

    /** ... and by this fraction of a proxy's fair share of the rate. */
    private static final double REPORTED_CHANGE_OF_SHARE = 0.2;

    private static final int INITIAL_PROXY_COUNT = 8;

    /**
     * What one proxy did with the requests of a tenant, for operators.
     *
     * @param ratePerSecond the part of the tenant's limit that the proxy may admit now
     * @param admitted requests since the start
     * @param rejected requests since the start
     */
    public record TenantUsage(double ratePerSecond, long admitted, long rejected) {}

    /** What is known of one tenant. */
    private static final class Account {
        /** Requests, decaying since {@link #countedAt}. */
        private double decayingCount;

        private long countedAt;
        private double rate;
        private double burst;
        private double tokens;
        /** Below 0 before the first request. */
        private long refilledAt = -1;
        /** Over all proxies. */
        private double totalDemand;

        private long admitted;
        private long rejected;
        private double reportedDemand;
        /** What this proxy had reported when the total was received: both are of the same time. */
        private double reportedInTotal;

        /** Whether the limit was scarce at the last refill. */
        private boolean scarce;

        private boolean isScarceNow() {
            return totalDemand > SCARCE_FACTOR * rate;
        }

        private double countAt(long nowMicros) {
            return decayingCount * Math.exp(-(nowMicros - countedAt) / DEMAND_DECAY_MICROS);
        }

        private double demandAt(long nowMicros) {
            return countAt(nowMicros) / DEMAND_DECAY_MICROS * MICROS_PER_SECOND;
        }
    }

    private final Map<String, Account> accounts = new HashMap<>();
    /** By controller and tenant. */
    private final Map<String, Map<String, Double>> totalsByController = new HashMap<>();

    /** When a total was received last; 0: never. */
    private long totalsReceivedAt;

    private int proxyCount = INITIAL_PROXY_COUNT;

    /** Sets how many proxies there are. */
    public void setProxyCount(int count) {
        proxyCount = Math.max(1, count);
    }

    /** A controller has published totals, those that have changed. Of several controllers the largest total counts. */
    public void updateTotals(long nowMicros, String controller, Map<?, ?> demandByTenant) {
        Map<String, Double> totals = totalsByController.computeIfAbsent(controller, name -> new HashMap<>());
        totalsReceivedAt = nowMicros;
        demandByTenant.forEach((tenant, demand) -> {
            if (demand instanceof Number number) {
                totals.put((String) tenant, number.doubleValue());
                updateAccount(nowMicros, (String) tenant);
            }
        });
    }

    private void updateAccount(long nowMicros, String tenant) {
        Account account = accounts.get(tenant);
        if (account == null) {
            return;
        }
        if (account.scarce) {
            refill(nowMicros, account);
        }
        account.totalDemand = largestTotal(tenant);
        account.reportedInTotal = account.reportedDemand;
    }

    /** The totals of a controller that is silent count no longer. */
    public void removeController(String controller) {
        totalsByController.remove(controller);
    }

    private double largestTotal(String tenant) {
        double largest = 0;
        for (Map<String, Double> totals : totalsByController.values()) {
            largest = Math.max(largest, totals.getOrDefault(tenant, 0.0));
        }
        return largest;
    }

    /**
     * Counts a request of the tenant and admits it if there is a token for it.
     *
     * @param rate the tenant's limit over all proxies; 0 or below: none
     * @param burst the size of the tenant's bucket over all proxies
     * @return 0 where the request is admitted; else the microseconds after which to retry
     */
    public long tryAcquire(long nowMicros, String tenant, double rate, double burst) {
        Account account = accounts.get(tenant);
        if (account == null) {
            account = new Account();
            account.totalDemand = largestTotal(tenant);
            accounts.put(tenant, account);
        }
        account.decayingCount = account.countAt(nowMicros) + 1;
        account.countedAt = nowMicros;
        account.rate = rate;
        account.burst = burst;
        if (rate <= 0) {
            account.admitted++;
            return 0;
        }
        double refillRate = refill(nowMicros, account);
        if (account.tokens >= 1) {
            account.tokens--;
            account.admitted++;
            return 0;
        }
        account.rejected++;
        double missing = 1 - account.tokens;
        return Math.max(MIN_RETRY_MICROS, (long) (missing / Math.max(MIN_REFILL_RATE, refillRate) * MICROS_PER_SECOND));
    }

    /** Adds the tokens since the last refill, by what was known in that time; returns the rate per second. */
    private double refill(long nowMicros, Account account) {
        double rate = account.rate;
        double ownDemand = account.demandAt(nowMicros);
        double share = share(nowMicros, account, ownDemand);
        double leftByOthers = rate - OTHERS_FACTOR * Math.max(0, account.totalDemand - ownDemand);
        double refillRate = Math.max(share * rate, Math.min(leftByOthers, SPARE_FACTOR * share * rate + 1));
        double capacity = share * account.burst * BURST_FACTOR;
        boolean scarce = account.isScarceNow();
        if (account.refilledAt < 0) {
            account.tokens = scarce ? capacity : Math.max(1, capacity);
        } else {
            // What all have left unused so far is together more than the burst: from now on each has its share of it.
            boolean becameScarce = scarce && !account.scarce;
            double tokens = becameScarce ? Math.min(account.tokens, capacity) : account.tokens;
            double added = refillRate * (nowMicros - account.refilledAt) / MICROS_PER_SECOND;
            account.tokens = Math.min(Math.max(1, capacity), tokens + added);
        }
        account.scarce = scarce;
        account.refilledAt = nowMicros;
        return refillRate;
    }

    /** The fraction of the limit that this proxy may admit now. */
    private double share(long nowMicros, Account account, double ownDemand) {
        double fairShare = 1.0 / proxyCount;
        if (totalsReceivedAt == 0) {
            return fairShare * UNINFORMED_FACTOR;
        }
        double share = informedShare(account, ownDemand, fairShare);
        long age = nowMicros - totalsReceivedAt;
        if (age < STALE_AFTER_MICROS) {
            return share;
        }
        double factor = age < FORGOTTEN_AFTER_MICROS ? STALE_FACTOR : FORGOTTEN_FACTOR;
        return Math.min(share, fairShare) * factor;
    }

    private double informedShare(Account account, double ownDemand, double fairShare) {
        if (account.totalDemand <= 0) {
            return fairShare;
        }
        // Where the limit is scarce, demand and total have to be of the same time, or the shares exceed it together.
        boolean scarce = account.isScarceNow();
        double demand = scarce
                ? account.reportedInTotal
                : Math.min(ownDemand, DEMAND_GROWTH_FACTOR * account.reportedInTotal + DEMAND_GROWTH);
        double minShare = fairShare / (scarce ? MIN_SHARE_DIVISOR_SCARCE : MIN_SHARE_DIVISOR);
        return Math.min(1, Math.max(demand / Math.max(demand, account.totalDemand), minShare));
    }

    /** What this proxy has admitted and rejected, by tenant. */
    public Map<String, TenantUsage> usage(long nowMicros) {
        Map<String, TenantUsage> usageByTenant = new TreeMap<>();
        accounts.forEach((tenant, account) -> {
            double ratePerSecond = account.rate * share(nowMicros, account, account.demandAt(nowMicros));
            usageByTenant.put(tenant, new TenantUsage(ratePerSecond, account.admitted, account.rejected));
        });
        return usageByTenant;
    }

    /** The demand of each tenant at this proxy; tenants without any are left out. */
    public Map<String, Double> demand(long nowMicros) {
        Map<String, Double> demandByTenant = new TreeMap<>();
        accounts.forEach((tenant, account) -> {
            double demand = account.demandAt(nowMicros);
            if (demand > MIN_DEMAND) {
                demandByTenant.put(tenant, round(demand));
            }
        });
        return demandByTenant;
    }

    /**
     * The demand to report to the controllers, which counts as reported from then on: that which has changed
     * noticeably, or all. Where only changes are reported, a tenant whose demand has ended is in it once with 0.
     */
    public Map<String, Double> takeChangedDemand(long nowMicros, boolean all) {
        Map<String, Double> changed = new TreeMap<>();
        accounts.forEach((tenant, account) -> {
            double exact = account.demandAt(nowMicros);
            double demand = exact > MIN_DEMAND ? round(exact) : 0;
            if (all ? demand > 0 : isReportable(account, demand)) {
                changed.put(tenant, demand);
                account.reportedDemand = demand;
            } else if (all) {
                account.reportedDemand = 0;
            }
        });
        return changed;
    }

    private boolean isReportable(Account account, double demand) {
        double threshold = Math.max(
                REPORTED_CHANGE_FRACTION * account.reportedDemand,
                REPORTED_CHANGE_OF_SHARE * account.rate / proxyCount);
        return Math.abs(demand - account.reportedDemand) > threshold || demand == 0 && account.reportedDemand > 0;
    }

    /** To two decimals. */
    private static double round(double demand) {
        return Math.round(demand * 100) / 100.0;
    }
}
