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
        if (outcome instanceof RequestOutcome.Responded responded) {
            return responded.status() < FIRST_ERROR_STATUS ? Result.SERVED : Result.ERROR;
        }
        if (outcome instanceof RequestOutcome.NotRun notRun) {
            return switch (notRun.reason()) {
                    // The proxy beside the instance schedules its requests: it rejected only this one.
                case FULL, LATE, CANCELLED, REFUSED -> Result.NOT_SENT;
                case GONE, MISDIRECTED, NO_CONNECTION -> Result.NO_CONNECTION;
            };
        }
        return Result.BROKEN;
    }

    /**
     * Reports the load of an application instance. An instance responds equally fast until all its slots are in use,
     * and the proxy beside it orders the waiting requests by priority. The load balancer's own limits must not hold
     * back a request here that would go first there, so no instance is reported as more than half utilized.
     *
     * @param load may be null; then the report is null, too
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
