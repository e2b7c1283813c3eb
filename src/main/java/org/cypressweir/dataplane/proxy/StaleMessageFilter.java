package org.cypressweir.dataplane.proxy;

import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/** Parcels that belong to another line, another life or a request that is over: counted, told, dropped. */
final class StaleMessageFilter {

    private static final Logger LOG = Logger.getLogger(StaleMessageFilter.class);
    private static final long BETWEEN = 1_000_000;

    private final LongSupplier micros;
    private long count;
    private long untold;
    private long tellAt = Long.MIN_VALUE;

    StaleMessageFilter(LongSupplier micros) {
        this.micros = micros;
    }

    void dropped(String parcel, long number, String why) {
        count++;
        untold++;
        long now = micros.getAsLong();
        if (now >= tellAt) {
            LOG.warn("An old parcel is dropped: " + parcel + " " + number + " " + why + "; " + untold
                    + " since the last such line.");
            untold = 0;
            tellAt = now + BETWEEN;
        }
    }

    long count() {
        return count;
    }
}
