package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;

/**
 * The two timers of a request to one service. At its deadline the request gets its response, even if attempts are
 * still in flight. Before that, a request that no instance has capacity for is rejected early, so that its client can
 * still retry in time. {@link ProxiedRequest} cancels both timers when it is closed.
 *
 * <p>Not thread-safe: used on the event loop alone, where the timers run too. Lives as long as its
 * {@link ServiceRequestHandler}. All times are in microseconds.
 */
final class RequestTimers {

    private static final long MIN_ADMISSION_WAIT_MICROS = 1_000;
    /** The longest wait for capacity, as a part of the latency target. */
    private static final double ADMISSION_WAIT_PART = 0.23;
    /** A rejected request should be retried after its latency target divided by this. */
    private static final long REJECTION_RETRY_DIVISOR = 4;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final SubsetLoadBalancer loadBalancer;
    private final InFlightRequests inFlight;
    private final AttemptObserver observer;

    RequestTimers(
            EventLoop loop,
            LongSupplier clock,
            SubsetLoadBalancer loadBalancer,
            InFlightRequests inFlight,
            AttemptObserver observer) {
        this.observer = observer;
        this.loop = loop;
        this.clock = clock;
        this.loadBalancer = loadBalancer;
        this.inFlight = inFlight;
    }

    void scheduleDeadline(ProxiedRequest request, long now) {
        request.deadlineTimer =
                loop.schedule(() -> deadlinePassed(request), request.deadline - now, TimeUnit.MICROSECONDS);
    }

    private void deadlinePassed(ProxiedRequest request) {
        long now = clock.getAsLong();
        for (int i = 0; i < request.attempts.size() && !request.state.isClosed(); i++) {
            ProxiedRequest.Attempt attempt = request.attempts.get(i);
            if (request.state.isPending(i) && !attempt.timedOut) {
                timeOut(request, i, attempt, now);
            }
        }
        if (!request.state.isClosed()) {
            loadBalancer.clientLeft(now, request.number);
            inFlight.fail(request.number);
        }
    }

    private void timeOut(ProxiedRequest request, int index, ProxiedRequest.Attempt attempt, long now) {
        attempt.timedOut = true;
        long latency = now - attempt.sentAt;
        observer.attemptEnded(request.route.name(), Result.TIMED_OUT, latency);
        loadBalancer.outcome(
                now,
                new LoadBalancer.Outcome(
                        request.number, index, attempt.endpoint.id(), Result.TIMED_OUT, latency, false, null));
        if (attempt.handle != null) {
            attempt.handle.cancel();
        }
    }

    /** Starts the admission timer, unless an attempt is in flight or the timer runs already. */
    void scheduleAdmissionTimeout(ProxiedRequest request) {
        if (request.state.isClosed() || request.state.hasPendingAttempt() || request.admissionTimer != null) {
            return;
        }
        long rejectAt = request.arrivedAt + (long) (ADMISSION_WAIT_PART * request.latencyTargetMicros());
        long delay = Math.max(MIN_ADMISSION_WAIT_MICROS, rejectAt - clock.getAsLong());
        request.admissionTimer = loop.schedule(() -> admissionTimedOut(request), delay, TimeUnit.MICROSECONDS);
    }

    private void admissionTimedOut(ProxiedRequest request) {
        request.admissionTimer = null;
        if (!request.state.isClosed() && !request.state.hasPendingAttempt()) {
            loadBalancer.clientLeft(clock.getAsLong(), request.number);
            inFlight.reject(request.number, request.latencyTargetMicros() / REJECTION_RETRY_DIVISOR);
        }
    }
}
