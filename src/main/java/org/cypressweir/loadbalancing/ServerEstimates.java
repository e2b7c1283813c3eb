package org.cypressweir.loadbalancing;

import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;

/**
 * Estimates of the latency and the load of servers, from answers, from their own reports and from the age of what
 * is out. Latencies are in units of what is usual for the request, times in microseconds. Estimates drift to a
 * mean while nothing new is known.
 */
final class ServerEstimates {

    /** Time constants in target latencies: of latency, of failures and connection set-ups. */
    static final double LATENCY_MEMORY = 4;

    static final double FAILURE_MEMORY = 30;
    /** Weight of one answer in what is known of all servers, or of those of a kind or zone. */
    static final double POOL_WEIGHT = 0.1;

    private static final double SETUP_WEIGHT = 0.3;
    private static final double MEAN_LATENCY_WEIGHT = 5 * RequestClasses.USUAL_WEIGHT;
    /** A sample of a mean counts for at most so much. */
    private static final double MOST_SAMPLE = 4;

    private final RequestClasses classes;
    private final EwmaTable latencyByKind = new EwmaTable(1, POOL_WEIGHT);
    private final EwmaTable latencyByZone = new EwmaTable(1, POOL_WEIGHT);
    /** Time that the set-up of a connection takes. */
    final DecayingMean setupMicros;
    /** Means of what servers report; NaN before the first report. */
    private double meanUtilization = Double.NaN;

    private double meanOthersInFlight = Double.NaN;

    ServerEstimates(RequestClasses classes) {
        this.classes = classes;
        setupMicros = new DecayingMean(FAILURE_MEMORY * classes.targetMicros, SETUP_WEIGHT);
    }

    boolean knowsUtilization() {
        return !Double.isNaN(meanUtilization);
    }

    boolean knowsLoad() {
        return !Double.isNaN(meanOthersInFlight);
    }

    /** Utilization of a server, from 0 to 1; NaN where no server has ever reported it. */
    double utilization(long now, Backend backend) {
        if (Double.isNaN(backend.utilization)) {
            return meanUtilization;
        }
        double keep = Math.exp(-(now - backend.reportedAt) / (LATENCY_MEMORY * classes.targetMicros));
        return meanUtilization + (backend.utilization - meanUtilization) * keep;
    }

    /** Own requests in flight, and those of others by the server's last report; an old one says the mean. */
    double load(long now, Backend backend) {
        if (Double.isNaN(meanOthersInFlight)) {
            return backend.inFlight.size();
        }
        double last = Double.isNaN(backend.othersInFlight) ? meanOthersInFlight : backend.othersInFlight;
        double keep = Math.exp(-2 * (now - backend.reportedAt) / classes.targetMicros);
        return backend.inFlight.size() + meanOthersInFlight + (last - meanOthersInFlight) * keep;
    }

    /** Peak EWMA, and at least the age of the oldest attempt: a hanging server never gives a sample. */
    double latency(long now, Backend backend) {
        Attempt oldest = backend.oldestAttempt();
        double age = oldest == null ? 0 : (now - oldest.sentAt) / (oldest.usualMicros * (1 + oldest.loadBefore));
        return Math.max(peakLatency(now, backend), age);
    }

    /** Drifts to what is usual for kind and zone between samples, and starts there. */
    double peakLatency(long now, Backend backend) {
        double usual = latencyByKind.get(backend.server.kind()) * latencyByZone.get(backend.server.zone());
        if (Double.isNaN(backend.peakLatency)) {
            return usual;
        }
        double keep = Math.exp(-(now - backend.sampledAt) / (2 * LATENCY_MEMORY * classes.targetMicros));
        return usual + (backend.peakLatency - usual) * keep;
    }

    /** Takes a latency into the peak EWMA: up at once, down with time. */
    void addPeak(long now, Backend backend, double latency) {
        boolean isPeak = Double.isNaN(backend.peakLatency) || latency > peakLatency(now, backend);
        double keep = Math.exp(-(now - backend.sampledAt) / (LATENCY_MEMORY * classes.targetMicros));
        backend.peakLatency = isPeak ? latency : latency + (backend.peakLatency - latency) * keep;
        backend.sampledAt = now;
    }

    /** Takes the latency of an answer into the peak EWMA and the means. */
    void addAnswer(long now, Backend backend, double latency) {
        addPeak(now, backend, latency);
        double sample = Math.min(latency, MOST_SAMPLE);
        backend.meanLatency += MEAN_LATENCY_WEIGHT * (sample - backend.meanLatency);
        latencyByKind.add(backend.server.kind(), sample);
        latencyByZone.add(backend.server.zone(), sample);
    }

    /** Takes in the requests in flight that a report says; the report may be null. */
    void addInFlight(long now, Backend backend, LoadReport report) {
        if (report == null || Double.isNaN(report.inFlight())) {
            return;
        }
        backend.othersInFlight = Math.max(0, report.inFlight() - backend.inFlight.size());
        meanOthersInFlight = mean(meanOthersInFlight, backend.othersInFlight);
        backend.reportedAt = now;
    }

    /** Takes in the utilization that an answer's report says; the report may be null. */
    void addUtilization(long now, Backend backend, LoadReport report) {
        if (report != null && !Double.isNaN(report.utilization())) {
            backend.utilization = report.utilization();
            meanUtilization = mean(meanUtilization, backend.utilization);
            backend.reportedAt = now;
        } else if (!Double.isNaN(meanUtilization)) {
            // A report missing where one is usual means busy, not idle.
            backend.utilization = Math.max(utilization(now, backend), (1 + meanUtilization) / 2);
            backend.reportedAt = now;
        }
    }

    private static double mean(double mean, double value) {
        return Double.isNaN(mean) ? value : mean + RequestClasses.USUAL_WEIGHT * (value - mean);
    }
}
