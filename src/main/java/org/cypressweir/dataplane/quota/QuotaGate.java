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
 * waits briefly, while one controller after the other is asked for tokens from its {@link TokenPool}. Once all of them
 * had none, further requests are rejected at once for a while.
 *
 * <p>No token is made but by an account's own part of the limit, so whatever is partitioned, restarted, lost or late,
 * the proxies together admit at most the limit, as long as each divides it by no less than the number of proxies.
 *
 * <p>Not thread-safe. Times are microseconds of one monotonic clock.
 */
public final class QuotaGate {

    private static final double MICROS_PER_SECOND = 1e6;

    /** A request waits so long at most for a controller's tokens. */
    private static final long MAX_WAIT_MICROS = 100_000;

    private static final int MAX_WAITING = 256;

    /** How long no tokens are asked for once all controllers had none. */
    private static final long MIN_BACKOFF_MICROS = 100_000;

    private static final long MAX_BACKOFF_MICROS = 1_000_000;

    /** The backoff as a fraction of the time in which a proxy earns a token: the pools fill no faster. */
    private static final double BACKOFF_FRACTION = 0.1;

    /** Tokens for so long are asked for in advance where the demand is beyond the proxy's own part. */
    private static final double ADVANCE_SECONDS = 0.1;

    /** Below so many requests per second none are asked for in advance. */
    private static final double MIN_ADVANCE_DEMAND = 5;

    private static final long MIN_RETRY_AFTER_MICROS = 10_000;
    private static final long MAX_RETRY_AFTER_MICROS = 1_000_000;
    private static final int INITIAL_PROXY_COUNT = 8;

    /** A request that waits for a token. */
    private record Waiting(long until, Runnable onAdmitted, LongConsumer onRejected) {}

    /** One tenant's account and what it is waiting for. */
    private static final class Tenant {
        private final TokenAccount account;
        private final Deque<Waiting> waiting = new ArrayDeque<>();
        /** Controllers that had no tokens, since one of them had some. */
        private final Set<String> empty = new HashSet<>();
        /** The controller that was asked and has not responded; null for none. */
        private String asked;

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
    /** Those for which a controller was asked; some of them may have their tokens already. */
    private final Set<String> waitingTenants = new HashSet<>();

    private int proxyCount = INITIAL_PROXY_COUNT;
    private int nextController;

    /** @param random spreads the moments at which proxies earn their tokens */
    public QuotaGate(TokenRequester requester, SplittableRandom random) {
        this.requester = requester;
        this.random = random;
        nextController = random.nextInt(Short.MAX_VALUE);
    }

    /** The requests per second that arrive, by tenant. */
    public DemandMeter demand() {
        return demand;
    }

    /** Sets by how many proxies the limits are divided. */
    public void setProxyCount(long nowMicros, int count) {
        int next = Math.max(1, count);
        if (next != proxyCount) {
            proxyCount = next;
            tenants.values().forEach(tenant -> tenant.account.update(nowMicros, tenant.account.limit(), next));
        }
    }

    /** The limits of a new configuration: all tenants that have one. */
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
            // What a former process has spent is not known. One that spends all it earns has a part of a token at any
            // moment, and so this one begins with a part: not with a whole token.
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
     * @param onRejected takes the microseconds after which to retry
     */
    public void admit(long nowMicros, String name, TenantLimit limit, Runnable onAdmitted, LongConsumer onRejected) {
        demand.count(nowMicros, name);
        Tenant tenant = tenant(nowMicros, name, limit);
        if (tenant.waiting.isEmpty() && tenant.account.trySpend(nowMicros)) {
            askInAdvance(nowMicros, name, tenant);
            onAdmitted.run();
            return;
        }
        boolean maySoonHaveTokens = tenant.asked != null || nowMicros >= tenant.backoffUntil;
        if (!maySoonHaveTokens || tenant.waiting.size() >= MAX_WAITING) {
            reject(nowMicros, tenant, onRejected);
            return;
        }
        tenant.waiting.add(new Waiting(nowMicros + MAX_WAIT_MICROS, onAdmitted, onRejected));
        if (tenant.asked == null) {
            askNext(nowMicros, name, tenant);
        }
    }

    private void askInAdvance(long nowMicros, String name, Tenant tenant) {
        if (!tenant.account.isLimited() || tenant.asked != null || nowMicros < tenant.backoffUntil) {
            return;
        }
        double arriving = demand.demand(nowMicros, name);
        boolean isBeyondOwnPart = arriving >= MIN_ADVANCE_DEMAND && arriving > tenant.account.ratePerSecond();
        if (isBeyondOwnPart && tenant.account.tokens(nowMicros) < 1) {
            askNext(nowMicros, name, tenant);
        }
    }

    /** Asks the next controller that may have tokens; rejects what waits where there is none. */
    private void askNext(long nowMicros, String name, Tenant tenant) {
        List<String> candidates = new ArrayList<>(requester.controllers());
        candidates.removeAll(tenant.empty);
        if (candidates.isEmpty()) {
            tenant.asked = null;
            tenant.empty.clear();
            tenant.backoffUntil = nowMicros + backoffMicros(tenant);
            rejectWaiting(nowMicros, tenant);
            return;
        }
        waitingTenants.add(name);
        tenant.asked = candidates.get(Math.floorMod(nextController++, candidates.size()));
        tenant.askedAt = nowMicros;
        double advance = ADVANCE_SECONDS * demand.demand(nowMicros, name);
        requester.requestTokens(tenant.asked, name, Math.max(Math.max(1, tenant.waiting.size()), (int) advance));
    }

    private static long backoffMicros(Tenant tenant) {
        double earningMicros = MICROS_PER_SECOND / tenant.account.ratePerSecond();
        return (long) Math.max(MIN_BACKOFF_MICROS, Math.min(MAX_BACKOFF_MICROS, BACKOFF_FRACTION * earningMicros));
    }

    /** A controller's response to a request for tokens: so many, or 0. */
    public void tokensReceived(long nowMicros, String controller, String name, int count) {
        Tenant tenant = tenants.get(name);
        if (tenant == null) {
            return;
        }
        tenant.account.add(nowMicros, count);
        if (controller.equals(tenant.asked)) {
            tenant.asked = null;
        }
        if (count > 0) {
            tenant.empty.clear();
        } else {
            tenant.empty.add(controller);
        }
        admitWaiting(nowMicros, tenant);
        if (!tenant.waiting.isEmpty() && tenant.asked == null) {
            askNext(nowMicros, name, tenant);
        }
    }

    private static void admitWaiting(long nowMicros, Tenant tenant) {
        while (!tenant.waiting.isEmpty() && tenant.account.trySpend(nowMicros)) {
            tenant.waiting.remove().onAdmitted.run();
        }
    }

    private static void rejectWaiting(long nowMicros, Tenant tenant) {
        while (!tenant.waiting.isEmpty()) {
            reject(nowMicros, tenant, tenant.waiting.remove().onRejected);
        }
    }

    private static void reject(long nowMicros, Tenant tenant, LongConsumer onRejected) {
        tenant.account.countRejected();
        long untilToken = tenant.account.microsUntilToken(nowMicros);
        onRejected.accept(Math.max(MIN_RETRY_AFTER_MICROS, Math.min(MAX_RETRY_AFTER_MICROS, untilToken)));
    }

    /** Ends waits that are over; to be called several times a second. */
    public void tick(long nowMicros) {
        // A copy: what is run may bring the next request of a connection.
        for (String name : List.copyOf(waitingTenants)) {
            Tenant tenant = tenants.get(name);
            if (tenant == null || tenant.asked == null && tenant.waiting.isEmpty()) {
                waitingTenants.remove(name);
            } else {
                endWaits(nowMicros, name, tenant);
            }
        }
    }

    private void endWaits(long nowMicros, String name, Tenant tenant) {
        if (tenant.asked != null && nowMicros - tenant.askedAt >= MAX_WAIT_MICROS) {
            tenant.empty.add(tenant.asked);
            tenant.asked = null;
        }
        admitWaiting(nowMicros, tenant);
        while (!tenant.waiting.isEmpty() && tenant.waiting.peek().until <= nowMicros) {
            reject(nowMicros, tenant, tenant.waiting.remove().onRejected);
        }
        if (!tenant.waiting.isEmpty() && tenant.asked == null) {
            askNext(nowMicros, name, tenant);
        }
    }

    /** Gives what this proxy does not need to one of the controllers; to be called a few times a second. */
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

    /** What this proxy has admitted and rejected, by tenant. */
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
