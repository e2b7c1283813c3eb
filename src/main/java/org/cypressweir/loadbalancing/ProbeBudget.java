package org.cypressweir.loadbalancing;

/** Probes that may be sent: each request earns some, of which a few requests' worth is saved; and what one takes. */
final class ProbeBudget {

    private static final int SAVED_REQUESTS = 4;

    private final double perRequest;
    private double tokens;
    private double usualMicros;

    /** With what a request earns; 0 for no probes at all. */
    ProbeBudget(double perRequest) {
        this.perRequest = perRequest;
    }

    boolean isEmpty() {
        return perRequest == 0;
    }

    void earn() {
        tokens = Math.min(SAVED_REQUESTS * perRequest, tokens + perRequest);
    }

    /** Whether one more may be sent. */
    boolean allows() {
        return tokens >= 1;
    }

    void spend() {
        tokens--;
    }

    /** A probe was answered. */
    void answered(double micros) {
        usualMicros += ServerEstimates.POOL_WEIGHT * (micros - usualMicros);
    }

    /** Time that a probe usually takes. */
    double usualMicros() {
        return usualMicros;
    }
}
