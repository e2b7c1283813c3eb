package org.cypressweir.dataplane.proxy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.DemandMeter;
import org.cypressweir.dataplane.quota.ProxyCounter;
import org.cypressweir.dataplane.quota.QuotaGate;
import org.cypressweir.dataplane.quota.TenantLimit;
import org.cypressweir.dataplane.quota.TenantUsage;
import org.cypressweir.dataplane.quota.TokenRequester;

/**
 * Connects the {@link QuotaGate} of this proxy to the controllers: exchanges tokens with them, and keeps the number of
 * proxies by which the limits are divided. This number is the largest one that this proxy has counted itself or that a
 * controller has announced.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class QuotaExchange implements TokenRequester {

    private final LongSupplier clock;
    private final String proxyName;
    private final Supplier<ControllerClient> controllers;
    private final QuotaGate gate;
    private final ProxyCounter proxyCounter = new ProxyCounter();
    private final Map<String, Integer> announcedCounts = new HashMap<>();

    QuotaExchange(
            LongSupplier clock, String proxyName, Supplier<ControllerClient> controllers, SplittableRandom random) {
        this.clock = clock;
        this.proxyName = proxyName;
        this.controllers = controllers;
        gate = new QuotaGate(this, random);
        proxyCounter.seen(clock.getAsLong(), proxyName, false);
    }

    QuotaGate gate() {
        return gate;
    }

    DemandMeter demand() {
        return gate.demand();
    }

    Map<String, TenantUsage> usage() {
        return gate.usage(clock.getAsLong());
    }

    /** Takes over the tenants' limits of a configuration that comes into force. */
    void updateLimits(Configuration configuration) {
        gate.updateLimits(clock.getAsLong(), TenantLimit.all(configuration));
    }

    /** Counts the proxies in the endpoint directory; to be called about once a second. */
    void countProxies(Collection<ProxyRegistration> registrations) {
        long now = clock.getAsLong();
        int before = proxyCounter.count();
        proxyCounter.seen(now, proxyName, false);
        for (ProxyRegistration registration : registrations) {
            proxyCounter.seen(now, registration.name(), registration.shuttingDown());
        }
        if (controllers.get().isInQuorumContact()) {
            proxyCounter.expire(now);
        }
        if (proxyCounter.count() != before) {
            controllers.get().publishProxyCount();
        }
        updateProxyCount();
    }

    /** How many proxies this one has counted itself. */
    int seenProxies() {
        return proxyCounter.count();
    }

    void proxyCountAnnounced(String controller, int count) {
        announcedCounts.put(controller, count);
        updateProxyCount();
    }

    /**
     * Forgets the counts that other controllers have announced. The count of a controller in the set is
     * kept even while it is silent.
     */
    void retainControllers(Set<String> addresses) {
        announcedCounts.keySet().retainAll(addresses);
    }

    private void updateProxyCount() {
        if (announcedCounts.isEmpty()) {
            return;
        }
        int count = proxyCounter.count();
        for (int announced : announcedCounts.values()) {
            count = Math.max(count, announced);
        }
        gate.setProxyCount(clock.getAsLong(), count);
    }

    /** To be called several times a second. */
    void tick(long now) {
        gate.tick(now);
    }

    /** To be called a few times a second. */
    void giveSurplus() {
        gate.giveSurplus(clock.getAsLong());
    }

    void tokensReceived(String controller, String tenant, int count) {
        gate.tokensReceived(clock.getAsLong(), controller, tenant, count);
    }

    @Override
    public List<String> controllers() {
        return controllers.get().connectedControllers();
    }

    @Override
    public void requestTokens(String controller, String tenant, int count) {
        controllers.get().send(controller, ControllerMessageCodec.tokenRequest(tenant, count));
    }

    @Override
    public void giveTokens(String controller, Map<String, Integer> tokensByTenant) {
        controllers.get().send(controller, ControllerMessageCodec.tokenSurplus(tokensByTenant));
    }
}
