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
 * The requests to one service that are in flight, and the one response of each. A request is added when it is
 * handled, gets its response here, and is removed and traced once the last of its attempts has ended. Counts the
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

    /** @param timerResolutionMicros how early a timer may run: a request counts as late so long before its deadline */
    InFlightRequests(String service, LongSupplier clock, long timerResolutionMicros) {
        this.service = service;
        this.clock = clock;
        this.timerResolutionMicros = timerResolutionMicros;
    }

    void add(ProxiedRequest request) {
        requests.put(request.number, request);
    }

    /** The request of a number; null where it is not in flight. */
    ProxiedRequest find(String number) {
        return requests.get(number);
    }

    /** Counts also requests that have their response, while an attempt at them is still in flight. */
    int size() {
        return requests.size();
    }

    /** Records the requests that have this id. */
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

    /** What is counted of requests that have ended. */
    RequestStatistics statistics() {
        return statistics;
    }

    /** A request stays in flight until the last of its attempts has ended. */
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

    /** Ends a request that gets no further attempt: with an error, unless a response was kept for it. */
    void fail(String number) {
        ProxiedRequest request = requests.get(number);
        if (request != null) {
            finish(request, FAILED_RETRY_AFTER_MICROS);
        }
    }

    /** Responds now: no further attempt is made, and none that is in flight is waited for. */
    private void finish(ProxiedRequest request, long retryAfterMicros) {
        boolean isLate = clock.getAsLong() >= request.deadline - timerResolutionMicros;
        respond(request, request.state.finalAction(isLate), null, retryAfterMicros);
        removeIfEnded(request);
    }

    /** Sends the client, or keeps for it, what the request's state says. */
    void respond(ProxiedRequest request, RequestState.ClientAction due, RequestOutcome outcome, long retryAfterMicros) {
        switch (due) {
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
        RequestOutcome.Responded answered = (RequestOutcome.Responded) outcome;
        return new ServerResponse(answered.status(), Headers.endToEnd(answered.headers()), answered.body());
    }
}
