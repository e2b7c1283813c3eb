package org.cypressweir.dataplane.proxy;

import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/** Translates the results of attempts into the terms of the load balancer. */
final class AttemptReports {

    private static final int FIRST_ERROR_STATUS = 500;
    private static final double RUNNING_WEIGHT = 0.3;
    private static final double WAITING_WEIGHT = 0.1;
    private static final double MAX_WAITING_UTILIZATION = 0.19;

    private AttemptReports() {}

    static Result result(RequestOutcome outcome) {
        if (outcome instanceof RequestOutcome.Responded answered) {
            return answered.status() < FIRST_ERROR_STATUS ? Result.SERVED : Result.ERROR;
        }
        if (outcome instanceof RequestOutcome.NotRun notRun) {
            return switch (notRun.reason()) {
                    // The proxy beside the instance orders what waits there: it rejects this request only.
                case FULL, LATE, CANCELLED, REFUSED -> Result.NOT_SENT;
                case GONE, MISDIRECTED, NO_CONNECTION -> Result.NO_CONNECTION;
            };
        }
        return Result.BROKEN;
    }

    /**
     * The load of an application instance. Instances respond equally fast up to their slots, and what waits is
     * ordered by the proxy beside them: the load balancer's own limits must not hold back here what would go
     * first there, so that no instance is reported as more than half utilized.
     *
     * @param load may be null, and so is the report then
     */
    static LoadReport loadReport(UpstreamLoad load) {
        if (load == null || load.concurrency() <= 0) {
            return null;
        }
        double running = RUNNING_WEIGHT * Math.min(1, load.running() / (double) load.concurrency());
        double waiting = Math.min(MAX_WAITING_UTILIZATION, WAITING_WEIGHT * load.waiting() / load.concurrency());
        return new LoadReport(Double.NaN, load.waiting(), running + waiting, Double.NaN, Double.NaN, Double.NaN);
    }
}
