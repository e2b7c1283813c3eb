package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;

/**
 * One request of a client, from its arrival to its one response, with all attempts at it. Used on the event
 * loop alone; times are in microseconds of the proxy's clock.
 */
final class ProxiedRequest {

    /** One attempt at the request. */
    static final class Attempt {
        /** Null where the selected endpoint was removed meanwhile. */
        final Endpoint endpoint;

        final long sentAt;
        AttemptTransport.Handle handle;
        /** Null while the attempt is in flight. */
        RequestOutcome outcome;

        long endedAt;
        /** Whether the request's deadline passed while the attempt was in flight. */
        boolean timedOut;

        Attempt(Endpoint endpoint, long sentAt) {
            this.endpoint = endpoint;
            this.sentAt = sentAt;
        }

        /** The outcome as operators read it; null while the attempt is in flight. */
        private String describeOutcome() {
            if (outcome instanceof RequestOutcome.Responded responded) {
                if (timedOut) {
                    return "answered late";
                }
                return responded.status() < FIRST_ERROR_STATUS ? "answered" : "answered an error";
            }
            if (outcome instanceof RequestOutcome.NotRun notRun) {
                return NOT_RUN_DESCRIPTIONS[notRun.reason().ordinal()];
            }
            return outcome instanceof RequestOutcome.MayHaveRun mayHaveRun ? mayHaveRun.why() : null;
        }
    }

    private static final int FIRST_ERROR_STATUS = 500;
    private static final int EXPECTED_ATTEMPTS = 2;
    /** Descriptions of the outcomes of attempts that have not run, by the ordinal of the reason. */
    private static final String[] NOT_RUN_DESCRIPTIONS = Arrays.stream(RejectionReason.values())
            .map(reason -> "not run: " + reason.name().toLowerCase(Locale.ROOT).replace('_', ' '))
            .toArray(String[]::new);

    /** Identifies the request to the load balancer. */
    final String number;

    final ServerRequest call;
    /** The id that the client gave the request, the same for all attempts. */
    final String id;

    final RouteConfiguration route;
    /** Null for a call without a tenant. */
    final String tenant;

    final int priority;
    /** Whether the call has no tenant and is treated as one of the local application. */
    final boolean internal;

    final long arrivedAt;
    /** The latest time at which a response meets the route's latency target. */
    final long latencyTargetAt;

    final long deadline;
    final List<Map.Entry<String, String>> headers;
    final List<Attempt> attempts = new ArrayList<>(EXPECTED_ATTEMPTS);
    /** Which attempts and which response are still allowed. */
    final RequestState state;
    /** An unsuccessful response of the application, saved in case no better one arrives. */
    ServerResponse fallbackResponse;
    /** The proxy's own error; null where the response is the application's. */
    ErrorKind error;

    ScheduledFuture<?> deadlineTimer;
    ScheduledFuture<?> admissionTimer;
    private final RequestTrace trace;
    private long closedAt;
    private int status;

    /** @param trace where the request is recorded once it has ended */
    ProxiedRequest(
            String number,
            ServerRequest call,
            String id,
            RouteConfiguration route,
            String tenant,
            int priority,
            boolean internal,
            long arrivedAt,
            long latencyTargetAt,
            long deadline,
            List<Map.Entry<String, String>> headers,
            RequestTrace trace) {
        this.number = number;
        this.call = call;
        this.id = id;
        this.route = route;
        state = new RequestState(route.idempotent());
        this.tenant = tenant;
        this.priority = priority;
        this.internal = internal;
        this.arrivedAt = arrivedAt;
        this.latencyTargetAt = latencyTargetAt;
        this.deadline = deadline;
        this.headers = headers;
        this.trace = trace;
    }

    /** The latency target: how long after the request's arrival a response still meets it. */
    long latencyTargetMicros() {
        return latencyTargetAt - arrivedAt;
    }

    /** The status of the response; 0 if the client disconnected before there was one. */
    int status() {
        return status;
    }

    /** The time from the request's arrival to its response, or until the client disconnected. */
    long durationMicros() {
        return closedAt - arrivedAt;
    }

    /** Records the request in its trace; to be called once it and all its attempts have ended. */
    void recordEnd(String service) {
        recordTo(trace, service);
    }

    /** Adds the request to a trace, as far as it has progressed. */
    void recordTo(RequestTrace target, String service) {
        target.addRequest(id, call.host(), call.path(), arrivedAt);
        target.setRoute(route.name(), service, tenant);
        if (state.isClosed()) {
            target.setResponse(closedAt, status, error);
        }
        for (int i = 0; i < attempts.size(); i++) {
            Attempt attempt = attempts.get(i);
            target.addAttempt(
                    attempt.endpoint == null ? null : attempt.endpoint.instanceId(),
                    attempt.endpoint == null ? null : attempt.endpoint.proxyName(),
                    attempt.sentAt,
                    attempt.endedAt,
                    attempt.describeOutcome());
        }
    }

    /** Responds to the client; does nothing after the first response. */
    void respond(ServerResponse response) {
        if (state.markResponded()) {
            close();
            status = response.status();
            call.answer(response);
        }
    }

    /** Closes the request without a response, since the client has disconnected. */
    void clientDisconnected() {
        state.onDisconnect();
        close();
    }

    private void close() {
        closedAt = trace.nowMicros();
        cancel(deadlineTimer);
        cancel(admissionTimer);
    }

    private static void cancel(ScheduledFuture<?> timer) {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}
