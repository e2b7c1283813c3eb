package org.cypressweir.dataplane.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A fleet of proxies and controllers in simulated time that admits the requests of one tenant. Proxies can be
 * partitioned from the controllers or restarted, controllers can be restarted; what was admitted is counted.
 */
final class QuotaFleet {

    static final String TENANT = "acme";
    static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 1_000;
    private static final long REPORT_MICROS = 200_000;
    /** After so long without a message, a controller takes a proxy's connection for lost. */
    private static final long DISCONNECTED_AFTER_MICROS = 1_200_000;
    /** After so long the other proxies no longer see a partitioned proxy. */
    private static final long EXPIRED_AFTER_MICROS = 2_300_000;

    private static final int COMPLETE_REPORT_EVERY = 10;
    private static final long NEVER = Long.MAX_VALUE;

    private static final class Proxy {
        private QuotaShares quotas = new QuotaShares();
        private long partitionedAt = NEVER;
        private long runsFrom;
        private int totalsSource;
    }

    private final SplittableRandom random;
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<DemandAggregator> controllers = new ArrayList<>();
    private final List<Long> controllerRunsFrom = new ArrayList<>();
    private final List<Long> admittedTimes = new ArrayList<>();
    private long now;
    double ratePerSecond;
    double burst;
    /** Requests per second of the tenant over the whole fleet. */
    double demandPerSecond;

    int requested;
    int admitted;

    QuotaFleet(long seed, int proxyCount, int controllerCount, double ratePerSecond, double burst) {
        random = new SplittableRandom(seed);
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        for (int i = 0; i < proxyCount; i++) {
            proxies.add(new Proxy());
            proxies.get(i).totalsSource = i % controllerCount;
        }
        for (int i = 0; i < controllerCount; i++) {
            controllers.add(new DemandAggregator());
            controllerRunsFrom.add(0L);
        }
    }

    long now() {
        return now;
    }

    /** The proxies exchange nothing with the controllers until they are joined again. */
    void partition(int... indexes) {
        for (int index : indexes) {
            proxies.get(index).partitionedAt = now;
        }
    }

    void join(int... indexes) {
        for (int index : indexes) {
            proxies.get(index).partitionedAt = NEVER;
        }
    }

    /** Kills a proxy's process; the next one serves after the delay. */
    void restartProxy(int index, long delayMicros) {
        Proxy proxy = proxies.get(index);
        proxy.quotas = new QuotaShares();
        proxy.runsFrom = now + delayMicros;
    }

    void restartController(int index, long delayMicros) {
        controllers.set(index, new DemandAggregator());
        controllerRunsFrom.set(index, now + delayMicros);
    }

    /** Runs until that time, with requests at random moments at random proxies that run. */
    void runUntil(long until) {
        for (; now < until; now += STEP_MICROS) {
            for (int i = 0; i < proxies.size(); i++) {
                exchange(i);
            }
            publishTotals();
            double expected = demandPerSecond * STEP_MICROS / SECOND;
            for (; random.nextDouble() < expected; expected--) {
                request(proxies.get(random.nextInt(proxies.size())));
            }
        }
    }

    private void request(Proxy proxy) {
        if (now < proxy.runsFrom) {
            return;
        }
        requested++;
        if (proxy.quotas.tryAcquire(now, TENANT, ratePerSecond, burst) == 0) {
            admitted++;
            admittedTimes.add(now);
        }
    }

    private int visibleProxies(Proxy observer) {
        if (observer.partitionedAt != NEVER) {
            return proxies.size();
        }
        int visible = 0;
        for (Proxy proxy : proxies) {
            boolean isExpired = proxy.partitionedAt != NEVER && now - proxy.partitionedAt > EXPIRED_AFTER_MICROS;
            visible += isExpired ? 0 : 1;
        }
        return visible;
    }

    private void exchange(int index) {
        Proxy proxy = proxies.get(index);
        if (now < proxy.runsFrom || now % REPORT_MICROS != index * 17_000L % REPORT_MICROS) {
            return;
        }
        boolean isPartitioned = proxy.partitionedAt != NEVER;
        proxy.quotas.setProxyCount(visibleProxies(proxy));
        boolean isComplete = now / REPORT_MICROS % COMPLETE_REPORT_EVERY == 0;
        Map<String, Double> demand = proxy.quotas.takeChangedDemand(now, isComplete);
        for (int i = 0; i < controllers.size(); i++) {
            boolean isReachable = !isPartitioned && now >= controllerRunsFrom.get(i);
            if (isReachable && !demand.isEmpty()) {
                controllers.get(i).report(now, "proxy-" + index, demand, isComplete);
            } else if (isPartitioned && now - proxy.partitionedAt > DISCONNECTED_AFTER_MICROS) {
                controllers.get(i).disconnected(now, "proxy-" + index);
            }
        }
        if (!isPartitioned && now < controllerRunsFrom.get(proxy.totalsSource)) {
            selectTotalsSource(proxy);
        }
    }

    private void selectTotalsSource(Proxy proxy) {
        proxy.quotas.removeController("controller-" + proxy.totalsSource);
        for (int i = 0; i < controllers.size(); i++) {
            if (now >= controllerRunsFrom.get(i)) {
                proxy.totalsSource = i;
                proxy.quotas.updateTotals(
                        now, "controller-" + i, controllers.get(i).totals(now));
                return;
            }
        }
    }

    private void publishTotals() {
        if (now % REPORT_MICROS != REPORT_MICROS / 2) {
            return;
        }
        boolean isComplete = now / REPORT_MICROS % COMPLETE_REPORT_EVERY == 5;
        for (int i = 0; i < controllers.size(); i++) {
            Map<String, Double> totals = controllers.get(i).takeChangedTotals(now, isComplete);
            for (Proxy proxy : proxies) {
                boolean receives = proxy.partitionedAt == NEVER && now >= proxy.runsFrom && proxy.totalsSource == i;
                if (receives && !totals.isEmpty() && now >= controllerRunsFrom.get(i)) {
                    proxy.quotas.updateTotals(now, "controller-" + i, totals);
                }
            }
        }
    }

    /** The most requests that were admitted within a time span of that length. */
    int mostAdmittedWithin(long lengthMicros) {
        int most = 0;
        for (int first = 0, last = 0; last < admittedTimes.size(); last++) {
            while (admittedTimes.get(last) - admittedTimes.get(first) >= lengthMicros) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }
}
