package org.cypressweir.dataplane.http.upstream;

/**
 * What the scheduler needs to know about a request, and what it records about it. Times are in microseconds of the
 * scheduler's clock.
 */
class SchedulableRequest {
    /** Whether it comes from one of the mesh's own services rather than from a tenant. */
    final boolean internal;
    /** Requests with a lower number are sent earlier. */
    final int priority;

    final long latencyTargetAt;
    final long deadline;
    final boolean idempotent;
    long arrivedAt;
    /** Its number in the order of arrival. */
    long sequence;
    /** When it was dispatched; once it was written, when that was. */
    long sentAt;
    /** How many requests that arrived later were dispatched before it. */
    int passedOver;
    /** Whether the recheck after a quarter of the time to its latency target has taken place. */
    boolean rechecked;

    SchedulableRequest(boolean internal, int priority, long latencyTargetAt, long deadline, boolean idempotent) {
        this.internal = internal;
        this.priority = priority;
        this.latencyTargetAt = Math.min(latencyTargetAt, deadline);
        this.deadline = deadline;
        this.idempotent = idempotent;
    }
}
