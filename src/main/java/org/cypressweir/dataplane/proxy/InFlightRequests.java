package org.cypressweir.dataplane.proxy;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;

/**
 * The requests to one service that are in flight; ensures that each gets one response. A request is added when it
 * arrives, and is removed and traced once it is closed and the last of its attempts has ended. Counts the
 * proxy's own error responses.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as its {@link ServiceRequestHandler}.
 */
final class InFlightRequests {

    private static final long FAILED_RETRY_AFTER_MICROS = 100_000;

    private final String service;
    private final LongSupplier clock;
    private final long timerResolutionMicros;
    private final Map<String, ProxiedRequest> requests = new HashMap<>();
    private final RequestStatistics statistics = new RequestStatistics();
    private final Map<ErrorKind, Long> localResponseCounts = new EnumMap<>(ErrorKind.class);

    /** @param timerResolutionMicros how early a timer may run; so long before its deadline a request is late */
    InFlightRequests(String service, LongSupplier clock, long timerResolutionMicros) {
        this.service = service;
        this.clock = clock;
        this.timerResolutionMicros = timerResolutionMicros;
    }

    void add(ProxiedRequest request) {
        requests.put(request.number, request);
    }

    /** The request with this number; null if it is not in flight. */
    ProxiedRequest find(String number) {
        return requests.get(number);
    }

    /** The number of requests in flight, including those with a response but an attempt still in flight. */
    int size() {
        return requests.size();
    }

    /** Adds the requests with this id to a trace. */
    void recordTo(RequestTrace target, String id) {
        for (ProxiedRequest request : requests.values()) {
            if (request.id.equals(id)) {
                request.recordTo(target, service);
            }
        }
    }

    /** The proxy's own error responses since the start, by kind. */
    Map<ErrorKind, Long> localResponseCounts() {
        return localResponseCounts;
    }

    /** The statistics of requests that have ended. */
    RequestStatistics statistics() {
        return statistics;
    }

    /** Removes a request that is closed, once the last of its attempts has ended. */
    void removeIfEnded(ProxiedRequest request) {
        if (request.state.isClosed() && !request.state.hasPendingAttempt() && requests.remove(request.number) != null) {
            statistics.record(request);
            request.recordEnd(service);
        }
    }

    /** Ends a request that there is no capacity for: with a rejection, unless one of its attempts may have run. */
    void reject(String number, long retryAfterMicros) {
        ProxiedRequest request = requests.get(number);
        if (request != null) {
            finish(request, retryAfterMicros);
        }
    }

    /** Ends a request that gets no further attempt: with an error, unless a response was saved for it. */
    void fail(String number) {
        ProxiedRequest request = requests.get(number);
        if (request != null) {
            finish(request, FAILED_RETRY_AFTER_MICROS);
        }
    }

    /** Responds at once: makes no further attempt, and waits for none that is in flight. */
    private void finish(ProxiedRequest request, long retryAfterMicros) {
        boolean isLate = clock.getAsLong() >= request.deadline - timerResolutionMicros;
        respond(request, request.state.finalAction(isLate), null, retryAfterMicros);
        removeIfEnded(request);
    }

    /** Sends the client a response, or saves one for it, as the request's state decides. */
    void respond(
            ProxiedRequest request, RequestState.ClientAction action, RequestOutcome outcome, long retryAfterMicros) {
        switch (action) {
            case NONE -> {}
            case SEND_RESPONSE -> request.respond(applicationResponse(outcome));
            case SAVE_RESPONSE -> request.fallbackResponse = applicationResponse(outcome);
            case SEND_SAVED_RESPONSE -> request.respond(request.fallbackResponse);
            case REJECT -> respondError(request, ErrorKind.NO_ROOM, retryAfterMicros);
            case BAD_GATEWAY -> respondError(request, ErrorKind.BROKEN, 0);
            case GATEWAY_TIMEOUT -> respondError(request, ErrorKind.TIMED_OUT, 0);
        }
    }

    /** Sends the client an error response of the proxy itself. */
    void respondError(ProxiedRequest request, ErrorKind error, long retryAfterMicros) {
        request.error = error;
        localResponseCounts.merge(error, 1L, Long::sum);
        request.respond(LocalResponses.of(error, retryAfterMicros));
    }

    private static ServerResponse applicationResponse(RequestOutcome outcome) {
        RequestOutcome.Responded responded = (RequestOutcome.Responded) outcome;
        return new ServerResponse(responded.status(), Headers.endToEnd(responded.headers()), responded.body());
    }
}
