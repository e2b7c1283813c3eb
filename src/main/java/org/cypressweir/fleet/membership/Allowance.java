package org.cypressweir.fleet.membership;

/** A token bucket of bytes: bounds what a process sends, whatever others ask of it. */
final class Allowance {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER = Long.MIN_VALUE;

    private final double bytesPerMicro;
    private final double capacityBytes;
    private double availableBytes;
    private long filledAt = NEVER;

    /** So many bytes a second, and as many at once. */
    Allowance(int bytesPerSecond) {
        bytesPerMicro = bytesPerSecond / MICROS_PER_SECOND;
        capacityBytes = bytesPerSecond;
        availableBytes = bytesPerSecond;
    }

    /** Takes so many bytes if they are available. */
    boolean spend(long now, int bytes) {
        if (filledAt != NEVER) {
            double filledBytes = Math.max(0, now - filledAt) * bytesPerMicro;
            availableBytes = Math.min(capacityBytes, availableBytes + filledBytes);
        }
        filledAt = Math.max(filledAt, now);
        if (availableBytes < bytes) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
