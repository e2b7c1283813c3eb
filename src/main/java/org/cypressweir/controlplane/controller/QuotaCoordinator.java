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
 * A controller's part in the rate limits of tenants: the tokens that proxies lend each other, and the number of proxies
 * that the limits are divided by. That is the largest that this controller or one of its proxies has counted.
 *
 * <p>Used by the event loop alone; times are microseconds of the controller's clock.
 */
final class QuotaCoordinator {

    private final TokenPool pool;
    private final ProxyCounter proxyCounter = new ProxyCounter();
    private final Map<PeerConnection, Integer> reportedCounts = new HashMap<>();
    private int announcedCount;

    /** @param slack requests beyond a tenant's limit that are tolerated within a window */
    QuotaCoordinator(double slack) {
        pool = new TokenPool(slack);
    }

    /** A configuration has been committed. */
    void committed(Configuration configuration, int controllerCount) {
        pool.update(TenantLimit.all(configuration), controllerCount);
    }

    /** A proxy has connected; returns the number of proxies, which it needs before any configuration. */
    int connected(long nowMicros, String proxy) {
        proxyCounter.seen(nowMicros, proxy, false);
        return proxyCount();
    }

    void registered(long nowMicros, ProxyRegistration registration) {
        proxyCounter.seen(nowMicros, registration.name(), registration.shuttingDown());
    }

    /** A proxy says how many it has seen. */
    void countReported(PeerConnection connection, int count) {
        reportedCounts.put(connection, count);
    }

    void disconnected(PeerConnection connection) {
        reportedCounts.remove(connection);
    }

    /** Takes in tokens that a proxy does not need. */
    void add(Map<String, Integer> tokensByTenant) {
        pool.add(tokensByTenant);
    }

    /** Hands out tokens, as many as are wanted or as there are. */
    int take(String tenant, int wanted) {
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
     * The number of proxies if it has changed since it was announced, and 0 otherwise; it counts as announced then.
     *
     * @param inQuorumContact whether proxies may be forgotten
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
