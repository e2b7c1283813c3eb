package org.cypressweir.dataplane.proxy;

import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * Logs messages that were dropped because they belong to another connection, another incarnation
 * or a request that is complete. Logs one line a second at most. Used on the event loop alone.
 */
final class StaleMessageFilter {

    private static final Logger LOG = Logger.getLogger(StaleMessageFilter.class);
    private static final long LOG_INTERVAL_MICROS = 1_000_000;

    private final LongSupplier clock;
    private long countSinceLog;
    private long nextLogAt = Long.MIN_VALUE;

    StaleMessageFilter(LongSupplier clock) {
        this.clock = clock;
    }

    /** Counts, and at most once a second logs, a message that the caller drops. */
    void dropped(String kind, long number, String reason) {
        countSinceLog++;
        long now = clock.getAsLong();
        if (now >= nextLogAt) {
            LOG.warn("Dropped stale message: kind=" + kind + " number=" + number + " reason=\"" + reason
                    + "\" droppedSinceLastLog=" + countSinceLog);
            countSinceLog = 0;
            nextLogAt = now + LOG_INTERVAL_MICROS;
        }
    }
}
