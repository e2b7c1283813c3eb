package org.cypressweir.dataplane.proxy;

import org.cypressweir.common.metrics.LatencyHistogram;
import org.cypressweir.loadbalancing.LoadBalancer.Result;

/**
 * Counts of the requests to one service that have ended, and of the attempts at them, since the start of the process.
 * Used on the event loop alone.
 */
final class RequestStatistics {

    private static final int STATUS_CLASSES = 6;
    private static final int STATUSES_PER_CLASS = 100;
    private static final int RESULTS = Result.values().length;

    /** By the first digit of the response's status; at index 0 those whose client disconnected before the response. */
    private final long[] requestsByStatusClass = new long[STATUS_CLASSES];

    private final long[] attemptsByResult = new long[RESULTS];
    private long retries;
    private final LatencyHistogram durations = new LatencyHistogram();

    /** Counts a request that has ended, as have all its attempts. */
    void record(ProxiedRequest request) {
        int status = request.status();
        requestsByStatusClass[Math.min(STATUS_CLASSES - 1, status / STATUSES_PER_CLASS)]++;
        if (status != 0) {
            durations.record(request.durationMicros());
        }
        int attempts = request.attempts.size();
        for (int i = 0; i < attempts; i++) {
            attemptsByResult[result(request.attempts.get(i)).ordinal()]++;
        }
        retries += Math.max(0, attempts - 1);
    }

    private static Result result(ProxiedRequest.Attempt attempt) {
        return attempt.timedOut ? Result.TIMED_OUT : AttemptReports.result(attempt.outcome);
    }

    /** Requests with this first digit of their status; 0 for those whose client disconnected before the response. */
    long requests(int statusClass) {
        return requestsByStatusClass[statusClass];
    }

    long attempts(Result result) {
        return attemptsByResult[result.ordinal()];
    }

    /** Attempts after the first of each request, including hedged ones. */
    long retries() {
        return retries;
    }

    /** The times from the arrival of each request to its response. */
    LatencyHistogram durations() {
        return durations;
    }
}
