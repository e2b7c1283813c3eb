package org.cypressweir.dataplane.http.upstream;

import java.util.Comparator;

/**
 * The order of queued requests at a given time. First come requests that are not idempotent and were passed over too
 * often, then internal requests, then the others by ascending priority number. Within a priority the earliest latency
 * target that can still be met comes first. Requests that cannot meet theirs come last, the newest of them first, since
 * the oldest is the least likely to be served in time.
 */
final class RequestPriority implements Comparator<SchedulableRequest> {
    private final ServiceTimeStatistics serviceTimes;
    private final long now;
    private final int maxPassedOver;

    RequestPriority(ServiceTimeStatistics serviceTimes, long now, int maxPassedOver) {
        this.serviceTimes = serviceTimes;
        this.now = now;
        this.maxPassedOver = maxPassedOver;
    }

    @Override
    public int compare(SchedulableRequest a, SchedulableRequest b) {
        int order = Boolean.compare(isStarving(b), isStarving(a));
        if (order == 0) {
            order = Boolean.compare(b.internal, a.internal);
        }
        if (order == 0) {
            order = Integer.compare(a.priority, b.priority);
        }
        if (order == 0) {
            order = Boolean.compare(missesTarget(a), missesTarget(b));
        }
        if (order == 0 && missesTarget(a)) {
            return Long.compare(b.sequence, a.sequence);
        }
        if (order == 0) {
            order = Long.compare(a.latencyTargetAt, b.latencyTargetAt);
        }
        return order == 0 ? Long.compare(a.sequence, b.sequence) : order;
    }

    private boolean isStarving(SchedulableRequest request) {
        return !request.idempotent && request.passedOver >= maxPassedOver;
    }

    private boolean missesTarget(SchedulableRequest request) {
        return now + serviceTimes.mean(request) > request.latencyTargetAt;
    }
}
