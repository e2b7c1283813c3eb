package org.cypressweir.dataplane.http.upstream;

import java.util.Comparator;

/**
 * Which of two waiting requests goes first at a moment. One that must not be repeated and was passed over
 * often comes before all, then inner ones, then by rank. Within a rank the earliest aim that can still be met
 * comes first, and what can't be in time any more comes last, the newest of it first.
 */
final class RequestPriority implements Comparator<SchedulableRequest> {
    private final ServiceTimeStatistics means;
    private final long now;
    private final int mostPassed;

    RequestPriority(ServiceTimeStatistics means, long now, int mostPassed) {
        this.means = means;
        this.now = now;
        this.mostPassed = mostPassed;
    }

    @Override
    public int compare(SchedulableRequest a, SchedulableRequest b) {
        int by = Boolean.compare(passedTooOften(b), passedTooOften(a));
        if (by == 0) {
            by = Boolean.compare(b.inner, a.inner);
        }
        if (by == 0) {
            by = Integer.compare(a.rank, b.rank);
        }
        if (by == 0) {
            by = Boolean.compare(tooLate(a), tooLate(b));
        }
        if (by == 0 && tooLate(a)) {
            return Long.compare(b.sequence, a.sequence);
        }
        if (by == 0) {
            by = Long.compare(a.aimAt, b.aimAt);
        }
        return by == 0 ? Long.compare(a.sequence, b.sequence) : by;
    }

    private boolean passedTooOften(SchedulableRequest c) {
        return !c.repeatable && c.passed >= mostPassed;
    }

    private boolean tooLate(SchedulableRequest c) {
        return now + means.of(c) > c.aimAt;
    }
}
