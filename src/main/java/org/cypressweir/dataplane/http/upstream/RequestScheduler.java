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
 * <p>No clock, no timers, no I/O: the caller passes the time, in microseconds, and asks {@link #expire} again at
 * {@link #nextTime}. Not thread-safe: for the event loop only.
 */
final class RequestScheduler<R extends SchedulableRequest> {
    /** The part of a deadline that is reserved for the way to the server and back. */
    static final long DEADLINE_MARGIN_MICROS = 5_000;

    private static final long MIN_RETRY_AFTER_MICROS = 20_000;
    /** A request that arrived no longer ago than this may be sent however little time is left. */
    private static final long GRACE_MICROS = 1_000;
    /** After this part of the time to its latency target a queued request is checked once more. */
    private static final int RECHECK_DIVISOR = 4;

    /** A request that was removed from the queue or never entered it; it has not run. */
    record Rejection<R>(R request, RejectionReason reason, long retryAfterMicros) {}

    /** How a dispatched request ended, as far as it matters for the statistics. */
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

    /** Takes over what the present instance announces; its concurrency is zero without a server. */
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

    /** Adds a request to the queue; it, or another one in its place, may be rejected. */
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

    /** Removes from the queue what cannot be served in time any more; to be called before each {@link #next}. */
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

    /** Checks once, a quarter into its time, whether a request is predicted to miss its latency target. */
    private boolean failsRecheck(long now, RequestPriority order, R request) {
        if (request.rechecked || now < recheckAt(request)) {
            return false;
        }
        request.rechecked = true;
        return countAhead(order, request) >= options.minQueued(concurrency())
                && predictedLateness(now, order, request) > 0;
    }

    /** When {@link #expire} is to be called at the latest. */
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

    /** A dispatched request has ended, sent or not. */
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

    /** Removes a request from the queue; whether it was there. */
    boolean cancel(R request) {
        return queue.remove(request);
    }

    /** Empties the queue; returns what was in it. */
    List<R> clear() {
        List<R> all = List.copyOf(queue);
        queue.clear();
        return all;
    }

    /** After what time a request that the server rejected as overloaded is worth a retry. */
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

    /** By how much a request misses its latency target, if all ahead of it take their mean service time. */
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
