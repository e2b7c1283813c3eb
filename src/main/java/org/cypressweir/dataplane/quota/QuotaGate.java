package org.cypressweir.dataplane.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongConsumer;

/**
 * Admits the requests of tenants at one proxy. Each tenant has a {@link TokenAccount}; a request that finds it empty
 * waits briefly, while one controller after the other is asked for tokens from its {@link TokenPool}. If none of them
 * has any, further requests are rejected at once during a backoff.
 *
 * <p>Tokens are created only by accounts, each at its own share of the limit. So the proxies together never admit more
 * than the limit, even if processes are partitioned or restarted and messages are lost or late, provided that each
 * proxy divides the limit by at least the true number of proxies.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class QuotaGate {

    private static final double MICROS_PER_SECOND = 1e6;

    /** How long a request waits for tokens from controllers at most. */
    private static final long MAX_WAIT_MICROS = 100_000;

    /** How many requests of a tenant may wait at once. */
    private static final int MAX_WAITING = 256;

    /** How long no controller is asked for tokens after none had any. */
    private static final long MIN_BACKOFF_MICROS = 100_000;

    private static final long MAX_BACKOFF_MICROS = 1_000_000;

    /** The backoff as a fraction of the time in which a proxy earns a token, since pools fill no faster than that. */
    private static final double BACKOFF_FRACTION = 0.1;

    /** How many seconds of demand are requested in advance if the demand exceeds the proxy's own share. */
    private static final double ADVANCE_SECONDS = 0.1;

    /** Demand, in requests per second, below which no tokens are requested in advance. */
    private static final double MIN_ADVANCE_DEMAND = 5;

    private static final long MIN_RETRY_AFTER_MICROS = 10_000;
    private static final long MAX_RETRY_AFTER_MICROS = 1_000_000;
    private static final int INITIAL_PROXY_COUNT = 8;

    /** A tenant's account and its waiting requests. */
    private static final class Tenant {
        private final TokenAccount account;
        private final Deque<Admission> waiting = new ArrayDeque<>();
        /** Controllers that had no tokens since a controller last had some. */
        private final Set<String> controllersWithoutTokens = new HashSet<>();
        /** The controller that was asked and has not responded yet; null for none. */
        private String askedController;

        private long askedAt;
        private long backoffUntil;

        private Tenant(TokenAccount account) {
            this.account = account;
        }
    }

    private final TokenRequester requester;
    private final SplittableRandom random;
    private final DemandMeter demand = new DemandMeter();
    private final Map<String, Tenant> tenants = new HashMap<>();
    /** Tenants for which a controller was asked; some may have got their tokens since. */
    private final Set<String> tenantsToCheck = new HashSet<>();

    private int proxyCount = INITIAL_PROXY_COUNT;
    private int nextController;

    /** @param random spreads the times at which proxies earn their tokens */
    public QuotaGate(TokenRequester requester, SplittableRandom random) {
        this.requester = requester;
        this.random = random;
        nextController = random.nextInt(Short.MAX_VALUE);
    }

    /** The arriving requests per second, by tenant. */
    public DemandMeter demand() {
        return demand;
    }

    /** Sets the number of proxies by which the limits are divided. */
    public void setProxyCount(long nowMicros, int count) {
        int next = Math.max(1, count);
        if (next != proxyCount) {
            proxyCount = next;
            tenants.values().forEach(tenant -> tenant.account.update(nowMicros, tenant.account.limit(), next));
        }
    }

    /** Applies the limits of a new configuration, which has all tenants with a limit. */
    public void updateLimits(long nowMicros, Map<String, TenantLimit> limits) {
        for (String name : List.copyOf(tenants.keySet())) {
            if (!limits.containsKey(name)) {
                rejectWaiting(nowMicros, tenants.remove(name));
            }
        }
        limits.forEach((name, limit) -> tenant(nowMicros, name, limit));
    }

    private Tenant tenant(long nowMicros, String name, TenantLimit limit) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            // It is unknown what a previous process has spent. One that spends all it earns has a fraction of a token
            // at any moment, so this one starts with a fraction too: whole tokens could be spent a second time.
            tenant = new Tenant(new TokenAccount(nowMicros, limit, proxyCount, random.nextDouble()));
            tenants.put(name, tenant);
        } else if (!tenant.account.limit().equals(limit)) {
            tenant.account.update(nowMicros, limit, proxyCount);
        }
        return tenant;
    }

    /**
     * Admits a request, at once or after a short wait, or rejects it.
     *
     * @param onRejected gets the time in microseconds after which to retry
     * @return the admission, to be cancelled if the client leaves while it waits
     */
    public Admission admit(
            long nowMicros, String name, TenantLimit limit, Runnable onAdmitted, LongConsumer onRejected) {
        demand.count(nowMicros, name);
        Tenant tenant = tenant(nowMicros, name, limit);
        Admission admission = new Admission(onAdmitted, onRejected);
        if (tenant.waiting.isEmpty() && tenant.account.trySpend(nowMicros)) {
            requestTokensInAdvance(nowMicros, name, tenant);
            admission.admit();
            return admission;
        }
        boolean mayGetTokens = tenant.askedController != null || nowMicros >= tenant.backoffUntil;
        if (!mayGetTokens || tenant.waiting.size() >= MAX_WAITING) {
            reject(nowMicros, tenant, admission);
            return admission;
        }
        admission.waitIn(tenant.waiting, nowMicros + MAX_WAIT_MICROS);
        if (tenant.askedController == null) {
            requestTokens(nowMicros, name, tenant);
        }
        return admission;
    }

    private void requestTokensInAdvance(long nowMicros, String name, Tenant tenant) {
        if (!tenant.account.isLimited() || tenant.askedController != null || nowMicros < tenant.backoffUntil) {
            return;
        }
        double arrivalRate = demand.demand(nowMicros, name);
        boolean exceedsOwnShare = arrivalRate >= MIN_ADVANCE_DEMAND && arrivalRate > tenant.account.ratePerSecond();
        if (exceedsOwnShare && tenant.account.tokens(nowMicros) < 1) {
            requestTokens(nowMicros, name, tenant);
        }
    }

    /** Asks the next controller that may have tokens; if there is none, rejects the waiting requests. */
    private void requestTokens(long nowMicros, String name, Tenant tenant) {
        List<String> candidates = new ArrayList<>(requester.controllers());
        candidates.removeAll(tenant.controllersWithoutTokens);
        if (candidates.isEmpty()) {
            tenant.askedController = null;
            tenant.controllersWithoutTokens.clear();
            tenant.backoffUntil = nowMicros + backoffMicros(tenant);
            rejectWaiting(nowMicros, tenant);
            return;
        }
        tenantsToCheck.add(name);
        tenant.askedController = candidates.get(Math.floorMod(nextController++, candidates.size()));
        tenant.askedAt = nowMicros;
        double advance = ADVANCE_SECONDS * demand.demand(nowMicros, name);
        requester.requestTokens(
                tenant.askedController, name, Math.max(Math.max(1, tenant.waiting.size()), (int) advance));
    }

    private static long backoffMicros(Tenant tenant) {
        double earningMicros = MICROS_PER_SECOND / tenant.account.ratePerSecond();
        return (long) Math.max(MIN_BACKOFF_MICROS, Math.min(MAX_BACKOFF_MICROS, BACKOFF_FRACTION * earningMicros));
    }

    /** Handles a controller's response to a request for tokens. The count is 0 if it had none. */
    public void tokensReceived(long nowMicros, String controller, String name, int count) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            return;
        }
        tenant.account.add(nowMicros, count);
        if (controller.equals(tenant.askedController)) {
            tenant.askedController = null;
        }
        if (count > 0) {
            tenant.controllersWithoutTokens.clear();
        } else {
            tenant.controllersWithoutTokens.add(controller);
        }
        admitWaiting(nowMicros, tenant);
        if (!tenant.waiting.isEmpty() && tenant.askedController == null) {
            requestTokens(nowMicros, name, tenant);
        }
    }

    private static void admitWaiting(long nowMicros, Tenant tenant) {
        while (!tenant.waiting.isEmpty() && tenant.account.trySpend(nowMicros)) {
            tenant.waiting.remove().admit();
        }
    }

    private static void rejectWaiting(long nowMicros, Tenant tenant) {
        while (!tenant.waiting.isEmpty()) {
            reject(nowMicros, tenant, tenant.waiting.remove());
        }
    }

    private static void reject(long nowMicros, Tenant tenant, Admission admission) {
        tenant.account.countRejected();
        long untilToken = tenant.account.microsUntilToken(nowMicros);
        admission.reject(Math.max(MIN_RETRY_AFTER_MICROS, Math.min(MAX_RETRY_AFTER_MICROS, untilToken)));
    }

    /** Rejects requests that have waited too long; to be called several times a second. */
    public void tick(long nowMicros) {
        // Iterates over a copy, since a callback may let in the next request of its connection.
        for (String name : List.copyOf(tenantsToCheck)) {
            Tenant tenant = tenants.get(name);
            if (tenant == null || tenant.askedController == null && tenant.waiting.isEmpty()) {
                tenantsToCheck.remove(name);
            } else {
                updateWaiting(nowMicros, name, tenant);
            }
        }
    }

    private void updateWaiting(long nowMicros, String name, Tenant tenant) {
        if (tenant.askedController != null && nowMicros - tenant.askedAt >= MAX_WAIT_MICROS) {
            tenant.controllersWithoutTokens.add(tenant.askedController);
            tenant.askedController = null;
        }
        admitWaiting(nowMicros, tenant);
        while (!tenant.waiting.isEmpty() && tenant.waiting.peek().isExpired(nowMicros)) {
            reject(nowMicros, tenant, tenant.waiting.remove());
        }
        if (!tenant.waiting.isEmpty() && tenant.askedController == null) {
            requestTokens(nowMicros, name, tenant);
        }
    }

    /** Gives the tokens that this proxy does not need to a controller; to be called a few times a second. */
    public void giveSurplus(long nowMicros) {
        List<String> controllers = requester.controllers();
        if (controllers.isEmpty()) {
            return;
        }
        Map<String, Integer> surplusByTenant = new TreeMap<>();
        tenants.forEach((name, tenant) -> {
            int surplus = tenant.waiting.isEmpty() ? tenant.account.takeSurplus(nowMicros) : 0;
            if (surplus > 0) {
                surplusByTenant.put(name, surplus);
            }
        });
        if (!surplusByTenant.isEmpty()) {
            requester.giveTokens(controllers.get(Math.floorMod(nextController++, controllers.size())), surplusByTenant);
        }
    }

    /** The requests that this proxy has admitted and rejected, and its tokens, by tenant. */
    public Map<String, TenantUsage> usage(long nowMicros) {
        Map<String, TenantUsage> usageByTenant = new TreeMap<>();
        tenants.forEach((name, tenant) -> {
            TokenAccount account = tenant.account;
            usageByTenant.put(
                    name,
                    new TenantUsage(
                            account.ratePerSecond(),
                            account.tokens(nowMicros),
                            account.admitted(),
                            account.rejected()));
        });
        return usageByTenant;
    }
}
