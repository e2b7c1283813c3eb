package org.cypressweir.sidecar;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Unix time in microseconds, read once from the wall clock and advanced by the monotonic clock. Start times from
 * discovery and deadlines can be compared with it, and steps of the wall clock do not affect it.
 */
final class SidecarClock {

    private final long offsetNanos = ChronoUnit.NANOS.between(Instant.EPOCH, Instant.now()) - System.nanoTime();

    long micros() {
        return (offsetNanos + System.nanoTime()) / 1000;
    }
}
