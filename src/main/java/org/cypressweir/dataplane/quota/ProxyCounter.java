package org.cypressweir.dataplane.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the proxies that may be running, by name. The limits of tenants are divided by this number, so it must not be
 * below the true one: a proxy that is no longer seen may be partitioned and still counts for two hours, longer than
 * partitions of regions last. A proxy that has announced its shutdown counts for one more minute. A process that is
 * itself partitioned from the controllers must not forget any proxy. Not thread-safe; times are microseconds of one
 * monotonic clock.
 */
public final class ProxyCounter {

    private static final long RETENTION_MICROS = 7_200_000_000L;
    private static final long LEAVING_RETENTION_MICROS = 60_000_000L;

    private final Map<String, Long> countedUntil = new HashMap<>();

    /** Records that a proxy was seen running or shutting down. */
    public void seen(long nowMicros, String name, boolean isShuttingDown) {
        long retention = isShuttingDown ? LEAVING_RETENTION_MICROS : RETENTION_MICROS;
        countedUntil.put(name, nowMicros + retention);
    }

    /**
     * Forgets the proxies whose retention has ended. Only to be called while in contact with a quorum of controllers.
     */
    public void expire(long nowMicros) {
        countedUntil.values().removeIf(until -> until < nowMicros);
    }

    /** How many proxies may be running. */
    public int count() {
        return countedUntil.size();
    }
}
