package org.cypressweir.common.transport;

import java.util.function.LongSupplier;

/**
 * The monotonic time of this process in microseconds; adjustments of the wall clock don't move it. The values of
 * two processes can't be compared. Safe for use by several threads.
 */
public final class MonotonicClock implements LongSupplier {

    /** The clock starts far above zero, so that a time of 0 means "never" and lies long ago. */
    private static final long INITIAL_NANOS = 1_000_000_000_000L;

    private static final long NANOS_PER_MICRO = 1_000;

    private final long originNanos = System.nanoTime() - INITIAL_NANOS;

    @Override
    public long getAsLong() {
        return (System.nanoTime() - originNanos) / NANOS_PER_MICRO;
    }
}
