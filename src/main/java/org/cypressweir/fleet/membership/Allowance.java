package org.cypressweir.fleet.membership;

/** Bytes that may be sent, whatever others want to hear: a token bucket. */
final class Allowance {

    private final double perMicro;
    private final double most;
    private double left;
    private long filledAt = Long.MIN_VALUE;

    /** So many bytes a second, and as many at once. */
    Allowance(int perSecond) {
        perMicro = perSecond / 1e6;
        most = perSecond;
        left = perSecond;
    }

    boolean spend(long now, int bytes) {
        if (filledAt != Long.MIN_VALUE) {
            left = Math.min(most, left + Math.max(0, now - filledAt) * perMicro);
        }
        filledAt = Math.max(filledAt, now);
        if (left < bytes) {
            return false;
        }
        left -= bytes;
        return true;
    }
}
