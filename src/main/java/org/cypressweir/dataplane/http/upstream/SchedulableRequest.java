package org.cypressweir.dataplane.http.upstream;

/** What the order of requests needs to know of one, and what it notes on it. */
class SchedulableRequest {
    final boolean inner;
    final int rank;
    final long aimAt;
    final long deadline;
    final boolean repeatable;
    long arrivedAt;
    long sequence;
    /** When it was let go, later when it was written. */
    long sentAt;
    /** How many that came later were let go before it. */
    int passed;
    /** Whether its chance was looked at once more, a quarter into its time. */
    boolean reviewed;

    SchedulableRequest(boolean inner, int rank, long aimAt, long deadline, boolean repeatable) {
        this.inner = inner;
        this.rank = rank;
        this.aimAt = Math.min(aimAt, deadline);
        this.deadline = deadline;
        this.repeatable = repeatable;
    }
}
