package org.cypressweir.dataplane.http.upstream;

/**
 * Exponentially weighted means and mean deviations of service times in microseconds, separately for internal and other
 * requests. Admission adds the deviation to the mean: of requests admitted by the mean alone, half would miss their
 * latency target. For the event loop only.
 */
final class ServiceTimeStatistics {
    /** Weight of the newest measurement. */
    private static final double NEWEST_WEIGHT = 0.05;

    private double internalMean;
    private double externalMean;
    private double internalDeviation;
    private double externalDeviation;

    ServiceTimeStatistics(long initialMicros) {
        internalMean = initialMicros;
        externalMean = initialMicros;
    }

    /** The service time that most requests of the same kind (internal or not) do not exceed. */
    long meanPlusDeviation(SchedulableRequest request) {
        return (long) (request.internal ? internalMean + internalDeviation : externalMean + externalDeviation);
    }

    long mean(SchedulableRequest request) {
        return (long) (request.internal ? internalMean : externalMean);
    }

    void record(SchedulableRequest request, long micros) {
        if (request.internal) {
            internalDeviation += NEWEST_WEIGHT * (Math.abs(micros - internalMean) - internalDeviation);
            internalMean += NEWEST_WEIGHT * (micros - internalMean);
        } else {
            externalDeviation += NEWEST_WEIGHT * (Math.abs(micros - externalMean) - externalDeviation);
            externalMean += NEWEST_WEIGHT * (micros - externalMean);
        }
    }

    /** Records a request that was not finished after this time. */
    void recordAtLeast(SchedulableRequest request, long micros) {
        record(request, Math.max(micros, mean(request)));
    }
}
