package org.cypressweir.loadbalancing;

/** How long a connection may have been idle to be trusted: less, for a time, after one has died of it. */
final class IdleConnectionTrust {

    private final RequestClasses classes;
    private long trustedMicros = Long.MAX_VALUE;
    private long distrustedAt;

    IdleConnectionTrust(RequestClasses classes) {
        this.classes = classes;
    }

    /** Connections that were idle for less are trusted now. */
    long trustedMicros(long now) {
        boolean isRecent = now - distrustedAt < ServerEstimates.FAILURE_MEMORY * classes.targetMicros;
        return isRecent ? trustedMicros : Long.MAX_VALUE;
    }

    /** A connection died that had been idle for so long. */
    void died(long now, long idleMicros) {
        trustedMicros = Math.min(trustedMicros(now), idleMicros) / 2;
        distrustedAt = now;
    }

    /** It had not died after all. */
    void reset() {
        trustedMicros = Long.MAX_VALUE;
    }
}
