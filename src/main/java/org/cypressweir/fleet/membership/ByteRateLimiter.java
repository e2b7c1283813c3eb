package org.cypressweir.fleet.membership;

/** Rate limiter in bytes, a token bucket. Bounds what this process sends, whatever others request of it. */
final class ByteRateLimiter {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER = Long.MIN_VALUE;

    private final double bytesPerMicro;
    private final double capacityBytes;
    private double availableBytes;
    private long refilledAt = NEVER;

    /** Allows this rate; the burst capacity is one second at this rate. */
    ByteRateLimiter(int bytesPerSecond) {
        bytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
        capacityBytes = bytesPerSecond;
        availableBytes = bytesPerSecond;
    }

    /** Takes this many bytes if they are available; otherwise takes none and returns false. */
    boolean tryAcquire(long now, int bytes) {
        if (refilledAt != NEVER) {
            double refillBytes = Math.max(0, now - refilledAt) * bytesPerMicro;
            availableBytes = Math.min(capacityBytes, availableBytes + refillBytes);
        }
        refilledAt = Math.max(refilledAt, now);
        if (availableBytes < bytes) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
