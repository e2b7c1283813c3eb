package org.cypressweir.controlplane.controller;

import java.util.HashMap;
import java.util.Map;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.ProxyCounter;
import org.cypressweir.dataplane.quota.TenantLimit;
import org.cypressweir.dataplane.quota.TokenPool;

/**
 * Coordinates the tenants' rate limits among proxies: passes surplus tokens from one proxy to another, and determines
 * the number of proxies by which the limits are divided. That number is the largest count of this controller and of the
 * proxies connected to it.
 *
 * <p>Used by the event loop only; times are microseconds of the controller's clock.
 */
final class QuotaCoordinator {

    private final TokenPool pool;
    private final ProxyCounter proxyCounter = new ProxyCounter();
    private final Map<PeerConnection, Integer> reportedCounts = new HashMap<>();
    private int announcedCount;

    /** @param slack tolerated number of requests beyond a tenant's limit within a window */
    QuotaCoordinator(double slack) {
        pool = new TokenPool(slack);
    }

    /** A configuration has been committed. */
    void committed(Configuration configuration, int controllerCount) {
        pool.update(TenantLimit.all(configuration), controllerCount);
    }

    /** Counts a proxy that has connected; returns the number of proxies, which it needs before any configuration. */
    int connected(long nowMicros, String proxy) {
        proxyCounter.seen(nowMicros, proxy, false);
        return proxyCount();
    }

    void registered(long nowMicros, ProxyRegistration registration) {
        proxyCounter.seen(nowMicros, registration.name(), registration.shuttingDown());
    }

    /** A proxy has reported how many proxies it has seen. */
    void countReported(PeerConnection connection, int count) {
        reportedCounts.put(connection, count);
    }

    void disconnected(PeerConnection connection) {
        reportedCounts.remove(connection);
    }

    /** Takes in tokens that a proxy does not need. */
    void addSurplus(Map<String, Integer> tokensByTenant) {
        pool.add(tokensByTenant);
    }

    /** Takes up to the wanted number of tokens from the pool; returns how many there were. */
    int takeTokens(String tenant, int wanted) {
        return pool.take(tenant, wanted);
    }

    private int proxyCount() {
        int count = proxyCounter.count();
        for (int reported : reportedCounts.values()) {
            count = Math.max(count, reported);
        }
        return count;
    }

    /**
     * Returns the number of proxies if it has changed since the last call, and 0 otherwise.
     *
     * @param inQuorumContact without contact, proxies that are not seen may be partitioned from here and stay counted
     */
    int takeChangedCount(long nowMicros, boolean inQuorumContact) {
        if (inQuorumContact) {
            proxyCounter.expire(nowMicros);
        }
        int count = proxyCount();
        boolean isChanged = count != announcedCount;
        announcedCount = count;
        return isChanged ? count : 0;
    }
}
