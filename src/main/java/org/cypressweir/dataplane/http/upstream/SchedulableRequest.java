package org.cypressweir.dataplane.http.upstream;

/**
 * What the scheduler needs to know of a request, and what it records on it. Times are in microseconds of the
 * scheduler's clock.
 */
class SchedulableRequest {
    /** Whether it is one of the mesh's own services' requests that no tenant sends. */
    final boolean internal;
    /** The lower the number, the earlier it is sent. */
    final int priority;

    final long latencyTargetAt;
    final long deadline;
    final boolean idempotent;
    long arrivedAt;
    /** The number of its arrival. */
    long sequence;
    /** When it was dispatched, later when it was written. */
    long sentAt;
    /** How many requests that arrived later were dispatched before it. */
    int passedOver;
    /** Whether it was checked once more, a quarter into its time, that it can still meet its latency target. */
    boolean rechecked;

    SchedulableRequest(boolean internal, int priority, long latencyTargetAt, long deadline, boolean idempotent) {
        this.internal = internal;
        this.priority = priority;
        this.latencyTargetAt = Math.min(latencyTargetAt, deadline);
        this.deadline = deadline;
        this.idempotent = idempotent;
    }
}
