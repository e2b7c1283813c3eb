package org.cypressweir.common.transport;

import java.util.function.LongSupplier;

/** The time of one process in microseconds; steps of the wall clock don't move it. */
public final class MonotonicClock implements LongSupplier {

    private final long start = System.nanoTime() - 1_000_000_000_000L;

    @Override
    public long getAsLong() {
        return (System.nanoTime() - start) / 1_000;
    }
}
