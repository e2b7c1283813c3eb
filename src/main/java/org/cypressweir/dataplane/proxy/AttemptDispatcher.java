package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;

/**
 * Sends the attempts at requests to one service, and handles their outcomes: the client gets the response that the
 * request's {@link RequestState} allows, the load balancer gets the result of the attempt.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as its {@link ServiceRequestHandler}.
 */
final class AttemptDispatcher {

    private static final String INSTANCE_HEADER = "Cypressweir-Target-Instance";

    private final EventLoop loop;
    private final LongSupplier clock;
    private final AttemptTransport transport;
    private final SubsetLoadBalancer loadBalancer;
    private final InFlightRequests inFlight;
    private final RequestTimers timers;
    private final AttemptObserver observer;

    AttemptDispatcher(
            EventLoop loop,
            LongSupplier clock,
            AttemptTransport transport,
            SubsetLoadBalancer loadBalancer,
            InFlightRequests inFlight,
            RequestTimers timers,
            AttemptObserver observer) {
        this.observer = observer;
        this.loop = loop;
        this.clock = clock;
        this.transport = transport;
        this.loadBalancer = loadBalancer;
        this.inFlight = inFlight;
        this.timers = timers;
    }

    /**
     * Begins an attempt.
     *
     * @param endpoint null where the selected endpoint was removed meanwhile: the attempt ends without being sent
     */
    void send(ProxiedRequest request, Endpoint endpoint) {
        int index = request.state.beginAttempt();
        ProxiedRequest.Attempt attempt = new ProxiedRequest.Attempt(endpoint, clock.getAsLong());
        request.attempts.add(attempt);
        if (endpoint == null || !request.state.trySend(index)) {
            AttemptResult notRun = new AttemptResult(new RequestOutcome.NotRun(RejectionReason.GONE, 0), null);
            loop.execute(() -> attemptEnded(request, index, attempt, notRun));
            return;
        }
        // The load balancer is calling this method: it must not be called back before the call has returned.
        boolean[] isSending = {true};
        attempt.handle = transport.send(endpoint, upstreamRequest(request, endpoint), result -> {
            if (isSending[0]) {
                loop.execute(() -> attemptEnded(request, index, attempt, result));
            } else {
                attemptEnded(request, index, attempt, result);
            }
        });
        isSending[0] = false;
    }

    private static UpstreamRequest upstreamRequest(ProxiedRequest request, Endpoint endpoint) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(request.headers);
        headers.add(Map.entry(INSTANCE_HEADER, endpoint.instanceId()));
        return new UpstreamRequest(
                request.id,
                request.call.method(),
                request.call.uri(),
                headers,
                request.call.body(),
                request.route.idempotent(),
                request.priority,
                request.internal,
                request.latencyTargetAt,
                request.deadline,
                endpoint.instanceId());
    }

    /** Cancels an attempt if it is in flight; its outcome is still delivered. */
    void cancel(ProxiedRequest request, int index) {
        if (index < request.attempts.size()) {
            ProxiedRequest.Attempt attempt = request.attempts.get(index);
            if (request.state.isPending(index) && attempt.handle != null) {
                attempt.handle.cancel();
            }
        }
    }

    private void attemptEnded(
            ProxiedRequest request, int index, ProxiedRequest.Attempt attempt, AttemptResult attemptResult) {
        if (!request.state.isPending(index)) {
            return;
        }
        long now = clock.getAsLong();
        RequestOutcome outcome = attemptResult.outcome();
        attempt.outcome = outcome;
        attempt.endedAt = now;
        RequestState.ClientAction action = request.state.onOutcome(index, outcome);
        if (action != RequestState.ClientAction.NONE) {
            inFlight.respond(request, action, outcome, 0);
        }
        if (!attempt.timedOut) {
            reportOutcome(now, request, index, attempt, attemptResult);
        }
        if (!request.state.isClosed()) {
            timers.scheduleAdmissionTimeout(request);
        }
        inFlight.removeIfEnded(request);
    }

    private void reportOutcome(
            long now, ProxiedRequest request, int index, ProxiedRequest.Attempt attempt, AttemptResult attemptResult) {
        Result result = result(now, request, attemptResult.outcome());
        observer.attemptEnded(request.route.name(), result, now - attempt.sentAt);
        long endpointId = attempt.endpoint == null ? 0 : attempt.endpoint.id();
        loadBalancer.outcome(
                now,
                new LoadBalancer.Outcome(
                        request.number,
                        index,
                        endpointId,
                        result,
                        now - attempt.sentAt,
                        result == Result.SERVED,
                        AttemptReports.loadReport(attemptResult.load())));
    }

    /**
     * The result as the load balancer sees it. An idempotent attempt is broken off once its client has left: that says
     * nothing about the endpoint, unless the response was late already.
     */
    private static Result result(long now, ProxiedRequest request, RequestOutcome outcome) {
        boolean isBrokenOff = request.state.isDisconnected()
                && request.route.idempotent()
                && outcome instanceof RequestOutcome.MayHaveRun;
        if (!isBrokenOff) {
            return AttemptReports.result(outcome);
        }
        return now < request.latencyTargetAt ? Result.CANCELLED : Result.TIMED_OUT;
    }
}
