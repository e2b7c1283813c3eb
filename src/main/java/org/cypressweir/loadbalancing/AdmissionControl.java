package org.cypressweir.loadbalancing;

/** Limits requests before they queue: by chance for the whole service, by a concurrency limit for each server. */
final class AdmissionControl {

    /** Admission by chance: the part of the target that cuts it, the cut, the gain in time, the least. */
    private static final double LATE = 0.8;

    private static final double ADMISSION_CUT = 0.7;
    private static final double ADMISSION_GAIN = 0.25;
    private static final double MIN_ADMISSION = 0.1;
    /** Concurrency limit: the part of the target that cuts it, but some more than usual; at most; the cut. */
    private static final double TARGET_PART = 0.5;

    private static final double ABOVE_USUAL = 1.25;
    private static final double MAX_TARGET_PART = 0.6;
    private static final double LIMIT_CUT = 0.7;
    private static final double MIN_LIMIT = 0.2;
    /** Utilization from which a limit does not grow, where so many instances fill a server; of a queue. */
    private static final double FULL_UTILIZATION = 0.9;

    private static final double MANY_INSTANCES = 10;
    private static final double BUSY_UTILIZATION = 0.5;

    private final BalancerContext context;

    AdmissionControl(BalancerContext context) {
        this.context = context;
    }

    /** Draws whether to refuse a request at once; what is beyond a tenant's share first. */
    boolean refuses(PendingRequest request) {
        double power = request.isOverQuota ? 1 / context.settings.overShareWorth() : 1;
        return context.random.nextDouble() >= Math.pow(context.admissionProbability, power);
    }

    void serverIsCrowded() {
        context.admissionProbability = Math.max(MIN_ADMISSION, context.admissionProbability * ADMISSION_CUT);
    }

    void answered(Attempt attempt, long elapsedMicros) {
        if (elapsedMicros > LATE * attempt.request.rules.aimMicros() * attempt.request.scale) serverIsCrowded();
        else context.admissionProbability = Math.min(1, context.admissionProbability + ADMISSION_GAIN);
    }

    /** What is usual at the server comes close to the target. */
    boolean isSlow(long now, Attempt attempt) {
        double latency = context.estimates.peakLatency(now, attempt.backend);
        return latency * attempt.usualMicros > TARGET_PART * attempt.request.rules.aimMicros();
    }

    /** A server turned a request away: it is busy, not sick. It is left alone for one usual answer. */
    void turnedAway(long now, Attempt attempt) {
        Backend backend = attempt.backend;
        serverIsCrowded();
        backend.concurrencyLimit = Math.max(1, backend.concurrencyLimit * LIMIT_CUT);
        double usual = attempt.usualMicros;
        backend.pausedUntil = now + (long) (usual / 2 + context.random.nextDouble() * usual);
    }

    /** Concurrency limit by AIMD against the target: keeps queues where answers are still in time. While a server
     * reports free cores and the limit holds requests back, it grows by a whole slot, so a restart or a burst is not
     * answered by refusals. Where one of each instance fills a server, none grows on a full one. */
    void adaptLimit(long now, Attempt attempt, double elapsedMicros) {
        Backend backend = attempt.backend;
        double limit = backend.concurrencyLimit;
        // Many instances share few cores: one request of each may be too many; below one, rest between sends.
        backend.restUntil = now + (long) (elapsedMicros * (1 / Math.min(1, limit) - 1));
        double target = attempt.request.rules.aimMicros();
        double usual = context.classes.usualMicros(attempt.request.requestClass);
        double utilization = context.estimates.utilization(now, backend);
        boolean reports = !Double.isNaN(backend.utilization);
        int load = backend.inFlight.size() + 1;
        if (elapsedMicros > Math.min(Math.max(TARGET_PART * target, ABOVE_USUAL * usual), MAX_TARGET_PART * target)) {
            // A server that reports free cores has no queue: what was slow is a new connection, the way or this
            // process. A limit that is large already is cut all the same, since reports come late.
            boolean hasQueue =
                    !reports || utilization > BUSY_UTILIZATION || limit > 2 * Backend.INITIAL_CONCURRENCY_LIMIT;
            if (attempt.sentAt >= backend.limitCutAt && hasQueue) {
                backend.concurrencyLimit = Math.max(context.hasManyInstances ? 1 : MIN_LIMIT, limit * LIMIT_CUT);
                backend.limitCutAt = now;
            }
        } else if (load >= limit / 2
                && (context.settings.replicas() < MANY_INSTANCES || !(utilization > FULL_UTILIZATION))) {
            boolean hasFreeCores = reports && utilization < BUSY_UTILIZATION && load >= limit;
            backend.concurrencyLimit += limit < 1 ? limit / 4 : hasFreeCores ? 1 : 1 / limit;
        }
    }
}
