package org.cypressweir.dataplane.http.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Decides which queued request is sent to the server next, and which is rejected: a request that cannot meet its
 * latency target or its deadline any more is not kept in the queue.
 *
 * <p>No clock, no timers, no I/O: the caller passes the time, in microseconds, and calls {@link #expire} again at
 * {@link #nextTime}. Not thread-safe: for the event loop only.
 */
final class RequestScheduler<R extends SchedulableRequest> {
    /** The part of a deadline that is reserved for the transfer to the server and back. */
    static final long DEADLINE_MARGIN_MICROS = 5_000;

    private static final long MIN_RETRY_AFTER_MICROS = 20_000;
    /** For this long after its arrival a request may be sent even if it is expected to miss its latency target. */
    private static final long GRACE_MICROS = 1_000;
    /** A queued request is rechecked after 1/4 of the time to its latency target. */
    private static final int RECHECK_DIVISOR = 4;

    /** A request that was removed from the queue or never entered it; it has not run. */
    record Rejection<R>(R request, RejectionReason reason, long retryAfterMicros) {}

    /** How a dispatched request ended, as the statistics distinguish it. */
    enum Completion {
        RESPONDED,
        OVERLOADED,
        DEADLINE_EXCEEDED,
        OTHER
    }

    private final UpstreamOptions options;
    private final ServiceTimeStatistics serviceTimes;
    private final ConcurrencyLimit limit;
    private final List<R> queue = new ArrayList<>();
    private final Collection<R> running = new LinkedHashSet<>();
    private long lastSequence;

    RequestScheduler(UpstreamOptions options) {
        this.options = options;
        serviceTimes = new ServiceTimeStatistics(options.initialServiceTimeMicros());
        limit = new ConcurrencyLimit(options);
    }

    /** Applies what the current instance announces; the concurrency is zero without a server. */
    void instanceChanged(int concurrency, long warmingUpUntil, boolean newInstance) {
        limit.update(concurrency, warmingUpUntil, newInstance);
    }

    int concurrency() {
        return limit.concurrency();
    }

    int running() {
        return running.size();
    }

    /** The requests in the queue, in no particular order. */
    List<R> queue() {
        return queue;
    }

    /** Adds a request to the queue; returns the rejection of this request, or of another one evicted for it. */
    List<Rejection<R>> enqueue(long now, R request) {
        request.arrivedAt = now;
        request.sequence = ++lastSequence;
        if (now + DEADLINE_MARGIN_MICROS > request.deadline) {
            return List.of(new Rejection<>(request, RejectionReason.LATE, 0));
        }
        RequestPriority order = order(now);
        if (!isAdmitted(now, order, request)) {
            return List.of(overloaded(now, order, request));
        }
        queue.add(request);
        return queue.size() > options.maxQueued(concurrency()) ? List.of(evictLast(now, order)) : List.of();
    }

    private boolean isAdmitted(long now, RequestPriority order, R request) {
        boolean runsAtOnce = countAhead(order, request) < limit.current(now) - running.size();
        if (runsAtOnce) {
            return true;
        }
        boolean queueIsShort = queue.size() < options.minQueued(concurrency()) && now < request.latencyTargetAt;
        return queueIsShort || predictedLateness(now, order, request) <= 0;
    }

    private Rejection<R> evictLast(long now, RequestPriority order) {
        R last = Collections.max(queue, order);
        queue.remove(last);
        return overloaded(now, order, last);
    }

    /** Removes requests that can no longer be served in time from the queue; to be called before each {@link #next}. */
    List<Rejection<R>> expire(long now) {
        List<Rejection<R>> rejections = new ArrayList<>();
        RequestPriority order = order(now);
        for (R request : List.copyOf(queue)) {
            if (now + DEADLINE_MARGIN_MICROS > request.deadline) {
                rejections.add(new Rejection<>(request, RejectionReason.LATE, 0));
                queue.remove(request);
            } else if (missesTarget(now, request) || failsRecheck(now, order, request)) {
                queue.remove(request);
                rejections.add(overloaded(now, order, request));
            }
        }
        return rejections;
    }

    private boolean missesTarget(long now, R request) {
        return now - request.arrivedAt > GRACE_MICROS && now + serviceTimes.mean(request) > request.latencyTargetAt;
    }

    /** Whether a request fails its one recheck, at which it is predicted again whether it meets its latency target. */
    private boolean failsRecheck(long now, RequestPriority order, R request) {
        if (request.rechecked || now < recheckAt(request)) {
            return false;
        }
        request.rechecked = true;
        return countAhead(order, request) >= options.minQueued(concurrency())
                && predictedLateness(now, order, request) > 0;
    }

    /** The latest time at which {@link #expire} is to be called again. */
    long nextTime() {
        long next = Long.MAX_VALUE;
        for (R request : queue) {
            long latestStart = request.latencyTargetAt - serviceTimes.mean(request);
            next = Math.min(next, request.deadline - DEADLINE_MARGIN_MICROS + 1);
            next = Math.min(next, Math.max(latestStart, request.arrivedAt + GRACE_MICROS) + 1);
            next = request.rechecked ? next : Math.min(next, recheckAt(request));
        }
        return next;
    }

    private static long recheckAt(SchedulableRequest request) {
        return request.arrivedAt + Math.max(0, request.latencyTargetAt - request.arrivedAt) / RECHECK_DIVISOR;
    }

    /** Whether a request may be dispatched now. */
    boolean isReady(long now) {
        return !queue.isEmpty() && running.size() < limit.current(now);
    }

    /** The first request in order, which stays in the queue; only if {@link #isReady}. */
    R peek(long now) {
        return queue.size() == 1 ? queue.get(0) : Collections.min(queue, order(now));
    }

    /** Dispatches the first request in order; only if {@link #isReady}. */
    R next(long now) {
        return dispatch(now, peek(now));
    }

    /** Moves a request that {@link #peek} returned from the queue to the running ones. */
    R dispatch(long now, R first) {
        queue.remove(first);
        for (R request : queue) {
            if (request.sequence < first.sequence) {
                request.passedOver++;
            }
        }
        first.sentAt = now;
        running.add(first);
        return first;
    }

    /** Records the end of a dispatched request, whether or not it was sent. */
    void onCompletion(long now, R request, Completion completion) {
        if (!running.remove(request)) {
            return;
        }
        if (completion == Completion.RESPONDED) {
            serviceTimes.record(request, now - request.sentAt);
            limit.onResponse();
        } else if (completion == Completion.OVERLOADED) {
            limit.onOverload(now, request.sentAt);
        } else if (completion == Completion.DEADLINE_EXCEEDED) {
            serviceTimes.recordAtLeast(request, now - request.sentAt);
        }
    }

    /** Removes a request from the queue; returns whether it was there. */
    boolean cancel(R request) {
        return queue.remove(request);
    }

    /** Empties the queue; returns what was in it. */
    List<R> clear() {
        List<R> all = List.copyOf(queue);
        queue.clear();
        return all;
    }

    /** After how long to retry a request that the server rejected because of overload. */
    long retryAfterMicros(R request) {
        return Math.max(MIN_RETRY_AFTER_MICROS, serviceTimes.mean(request) / Math.max(1, concurrency()));
    }

    private RequestPriority order(long now) {
        return new RequestPriority(serviceTimes, now, Math.max(4, 4 * concurrency()));
    }

    private int countAhead(RequestPriority order, R request) {
        int ahead = 0;
        for (R other : queue) {
            ahead += other != request && order.compare(other, request) < 0 ? 1 : 0;
        }
        return ahead;
    }

    /** By how much a request misses its latency target if all requests ahead of it take their mean service time. */
    private long predictedLateness(long now, RequestPriority order, R request) {
        long ahead = 0;
        for (R other : queue) {
            ahead += other != request && order.compare(other, request) < 0 ? serviceTimes.mean(other) : 0;
        }
        long startsAt = now + ahead / limit.expectedParallelism(now);
        return startsAt + serviceTimes.meanPlusDeviation(request) - request.latencyTargetAt;
    }

    private Rejection<R> overloaded(long now, RequestPriority order, R request) {
        long oneService = serviceTimes.mean(request) / limit.expectedParallelism(now);
        long retryAfter = Math.max(predictedLateness(now, order, request), oneService);
        return new Rejection<>(request, RejectionReason.FULL, Math.max(MIN_RETRY_AFTER_MICROS, retryAfter));
    }
}
