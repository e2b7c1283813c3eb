package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.util.Ids;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.RequestState;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.cypressweir.loadbalancing.LoadBalancer.Terms;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.jboss.logging.Logger;

/**
 * Handles the requests to one service. The load balancer decides on admission, endpoints, retries and hedged
 * requests; this carries its decisions out and sends each client its one response. What response is still
 * true after a request's attempts, its {@link RequestState} knows.
 *
 * <p>Not thread-safe: used on the event loop alone. All times are in microseconds.
 */
final class ServiceRequestHandler implements Actions {

    private static final Logger LOG = Logger.getLogger(ServiceRequestHandler.class);
    private static final int TENANT_BUCKETS = 256;
    private static final long SLOW_START_MICROS = 4_000_000;
    private static final long TIMER_RESOLUTION_MICROS = 1_000;
    private static final long MAX_RETRY_AFTER_MICROS = 500_000;
    private static final long NO_ENDPOINTS_RETRY_AFTER_MICROS = 200_000;
    private static final long FAILED_RETRY_AFTER_MICROS = 100_000;
    private static final long MIN_ADMISSION_WAIT_MICROS = 1_000;
    /** Part of the latency target for which a request waits for capacity at most. */
    private static final double ADMISSION_WAIT_PART = 0.23;
    /** The part of its time before the latency target after which a rejected request should be retried. */
    private static final long REJECTION_RETRY_DIVISOR = 4;
    /** Part of the latency target after which an idempotent request is hedged. */
    private static final double HEDGE_AFTER_PART = 0.8;

    private static final String INSTANCE_HEADER = "Cypressweir-Target-Instance";

    private final String service;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final AttemptTransport transport;
    private final SubsetLoadBalancer loadBalancer;
    private final RequestClassTable classes = new RequestClassTable();
    private Settings settings;
    private final Map<String, ProxiedRequest> inFlight = new HashMap<>();
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Long> startTimes = new HashMap<>();
    private final Map<ErrorKind, Long> localResponseCounts = new EnumMap<>(ErrorKind.class);
    private boolean hasEndpoints;

    /** @param retryBudget see {@link #retryBudget} */
    ServiceRequestHandler(
            String service,
            EventLoop loop,
            LongSupplier clock,
            AttemptTransport transport,
            String proxyName,
            int zone,
            List<String> zones,
            Rules retryBudget) {
        this.service = service;
        this.loop = loop;
        this.clock = clock;
        this.transport = transport;
        settings = new Settings(
                Ids.of(proxyName + service),
                (int) (Ids.of(proxyName) & 0xffff),
                1,
                zone,
                zones,
                classes.classes(),
                Collections.nCopies(TENANT_BUCKETS, new Tenant("", 0)),
                1,
                1,
                new Limits(4, true, false, true, MAX_RETRY_AFTER_MICROS, Long.MAX_VALUE / 4, 4_000, 2_000, true, 1_000),
                retryBudget,
                ReportSource.ANSWERS,
                false,
                false,
                TIMER_RESOLUTION_MICROS);
        loadBalancer = new SubsetLoadBalancer(settings, this);
    }

    /**
     * How many retries may be sent to the service's instances.
     *
     * @param windowMicros over which requests and retries are counted
     * @param minimum retries in a window that are allowed however few requests there are
     * @param perRequest further retries for each request
     */
    static Rules retryBudget(long windowMicros, double minimum, double perRequest) {
        return new Rules(0.5, SLOW_START_MICROS, 1_000_000, 1_000_000, minimum, perRequest, windowMicros);
    }

    /**
     * Replaces the endpoint list.
     *
     * @param warmAt by instance, when its slow start ends; 0 or absent where that is long past
     */
    void updateEndpoints(List<Endpoint> list, List<String> zones, Map<String, Long> warmAt) {
        long now = clock.getAsLong();
        endpoints.clear();
        List<Server> servers = new ArrayList<>();
        for (Endpoint endpoint : list) {
            endpoints.put(endpoint.id(), endpoint);
            long warm = warmAt.getOrDefault(endpoint.instanceId(), 0L);
            long startedAt =
                    startTimes.computeIfAbsent(endpoint.instanceId(), id -> warm > now ? warm - SLOW_START_MICROS : 0);
            servers.add(new Server(
                    endpoint.id(), zones.indexOf(endpoint.zone()), 0, 0, LoadBalancer.Phase.READY, startedAt, 1));
        }
        startTimes.keySet().retainAll(list.stream().map(Endpoint::instanceId).toList());
        hasEndpoints = !list.isEmpty();
        loadBalancer.servers(now, ListKind.COMPLETE, servers);
    }

    boolean hasEndpoints() {
        return hasEndpoints;
    }

    /** How many requests are in flight, those included whose last attempts nobody waits for. */
    int inFlightCount() {
        return inFlight.size();
    }

    /** Records the requests in flight that have this id. */
    void recordInFlight(String id, RequestTrace target) {
        for (ProxiedRequest request : inFlight.values()) {
            if (request.id.equals(id)) {
                request.recordTo(target, service);
            }
        }
    }

    /** The proxy's own error responses since the start, by kind. */
    Map<ErrorKind, Long> localResponseCounts() {
        return localResponseCounts;
    }

    private ServerResponse localResponse(ProxiedRequest request, ErrorKind error, long retryAfterMicros) {
        request.error = error;
        localResponseCounts.merge(error, 1L, Long::sum);
        return LocalResponses.of(error, retryAfterMicros);
    }

    // ---- Admission

    /** Takes a request over: from now on its client gets the response from here. */
    void handle(ProxiedRequest request) {
        long now = clock.getAsLong();
        inFlight.put(request.number, request);
        request.call.onDisconnect(() -> clientDisconnected(request));
        if (!hasEndpoints) {
            request.respond(localResponse(request, ErrorKind.NOT_READY, NO_ENDPOINTS_RETRY_AFTER_MICROS));
            removeIfEnded(request);
            return;
        }
        request.deadlineTimer =
                loop.schedule(() -> deadlinePassed(request), request.deadline - now, TimeUnit.MICROSECONDS);
        loadBalancer.request(
                now,
                new Request(
                        request.number,
                        classOf(request),
                        tenantBucket(request),
                        false,
                        -1,
                        request.deadline,
                        0,
                        !request.route.idempotent(),
                        attemptTerms(request)));
        scheduleAdmissionTimeout(request);
    }

    private static Terms attemptTerms(ProxiedRequest request) {
        int hedgedRequests = request.route.idempotent() && !request.internal ? 1 : 0;
        return new Terms(
                Math.max(1, request.route.maxAttempts()),
                0,
                Terms.NONE.retryOn(),
                hedgedRequests,
                (long) (HEDGE_AFTER_PART * request.latencyTargetMicros()),
                List.of(),
                false);
    }

    private static int tenantBucket(ProxiedRequest request) {
        return request.tenant == null ? 0 : (int) (Ids.of(request.tenant) % TENANT_BUCKETS);
    }

    private int classOf(ProxiedRequest request) {
        int number = classes.numberOf(request);
        if (number >= settings.classes().size()) {
            settings = settings.with(classes.classes());
            loadBalancer.retune(clock.getAsLong(), settings);
        }
        return number;
    }

    /** A request that no instance has capacity for is rejected early, so that its client may retry in time. */
    private void scheduleAdmissionTimeout(ProxiedRequest request) {
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
            refuse(request.number, request.latencyTargetMicros() / REJECTION_RETRY_DIVISOR);
        }
    }

    // ---- The end of a request

    private void clientDisconnected(ProxiedRequest request) {
        if (!request.state.isClosed()) {
            request.clientDisconnected();
            loadBalancer.clientLeft(clock.getAsLong(), request.number);
            removeIfEnded(request);
        }
    }

    /** A request stays in flight until the last of its attempts has ended. */
    private void removeIfEnded(ProxiedRequest request) {
        if (request.state.isClosed() && !request.state.hasPendingAttempt() && inFlight.remove(request.number) != null) {
            request.recordEnd(service);
        }
    }

    private void deadlinePassed(ProxiedRequest request) {
        long now = clock.getAsLong();
        for (int i = 0; i < request.attempts.size() && !request.state.isClosed(); i++) {
            ProxiedRequest.Attempt attempt = request.attempts.get(i);
            if (request.state.isPending(i) && !attempt.timedOut) {
                attempt.timedOut = true;
                long latency = now - attempt.sentAt;
                loadBalancer.outcome(
                        now,
                        new LoadBalancer.Outcome(
                                request.number, i, attempt.endpoint.id(), Result.TIMED_OUT, latency, false, null));
                if (attempt.handle != null) {
                    attempt.handle.cancel();
                }
            }
        }
        if (!request.state.isClosed()) {
            loadBalancer.clientLeft(now, request.number);
            fail(request.number);
        }
    }

    /** Responds now: no further attempt is made, and none that is in flight is waited for. */
    private void finish(ProxiedRequest request, long retryAfterMicros) {
        boolean isLate = clock.getAsLong() >= request.deadline - TIMER_RESOLUTION_MICROS;
        respond(request, request.state.finalAction(isLate), null, retryAfterMicros);
        removeIfEnded(request);
    }

    /** Sends the client, or keeps for it, what the request's state says. */
    private void respond(
            ProxiedRequest request, RequestState.ClientAction due, RequestOutcome outcome, long retryAfterMicros) {
        switch (due) {
            case NONE -> {}
            case SEND_RESPONSE -> request.respond(applicationResponse(outcome));
            case SAVE_RESPONSE -> request.fallbackResponse = applicationResponse(outcome);
            case SEND_SAVED_RESPONSE -> request.respond(request.fallbackResponse);
            case REJECT -> request.respond(localResponse(request, ErrorKind.NO_ROOM, retryAfterMicros));
            case BAD_GATEWAY -> request.respond(localResponse(request, ErrorKind.BROKEN, 0));
            case GATEWAY_TIMEOUT -> request.respond(localResponse(request, ErrorKind.TIMED_OUT, 0));
        }
    }

    private static ServerResponse applicationResponse(RequestOutcome outcome) {
        RequestOutcome.Responded answered = (RequestOutcome.Responded) outcome;
        return new ServerResponse(answered.status(), Headers.endToEnd(answered.headers()), answered.body());
    }

    // ---- Attempts

    private UpstreamRequest upstreamRequest(ProxiedRequest request, Endpoint endpoint) {
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

    private void attemptEnded(
            ProxiedRequest request, int index, ProxiedRequest.Attempt attempt, AttemptResult attemptResult) {
        if (!request.state.isPending(index)) {
            return;
        }
        long now = clock.getAsLong();
        RequestOutcome outcome = attemptResult.outcome();
        attempt.outcome = outcome;
        attempt.endedAt = now;
        RequestState.ClientAction due = request.state.onOutcome(index, outcome);
        if (due != RequestState.ClientAction.NONE) {
            respond(request, due, outcome, 0);
        }
        if (!attempt.timedOut) {
            reportOutcome(now, request, index, attempt, attemptResult);
        }
        if (!request.state.isClosed()) {
            scheduleAdmissionTimeout(request);
        }
        removeIfEnded(request);
    }

    private void reportOutcome(
            long now, ProxiedRequest request, int index, ProxiedRequest.Attempt attempt, AttemptResult attemptResult) {
        Result result = AttemptReports.result(attemptResult.outcome());
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

    // ---- What the load balancer asks for

    @Override
    public void send(String number, long endpointId, long timeoutMicros) {
        ProxiedRequest request = inFlight.get(number);
        Endpoint endpoint = endpoints.get(endpointId);
        if (request == null) {
            return;
        }
        int index = request.state.beginAttempt();
        ProxiedRequest.Attempt attempt = new ProxiedRequest.Attempt(endpoint, clock.getAsLong());
        request.attempts.add(attempt);
        if (endpoint == null || !request.state.trySend(index)) {
            AttemptResult gone = new AttemptResult(new RequestOutcome.NotRun(RejectionReason.GONE, 0), null);
            loop.execute(() -> attemptEnded(request, index, attempt, gone));
            return;
        }
        // The load balancer must not be called again before this call of its own has returned.
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

    @Override
    public void refuse(String number, long retryAfterMicros) {
        ProxiedRequest request = inFlight.get(number);
        if (request != null) {
            finish(request, retryAfterMicros);
        }
    }

    @Override
    public void fail(String number) {
        ProxiedRequest request = inFlight.get(number);
        if (request != null) {
            finish(request, FAILED_RETRY_AFTER_MICROS);
        }
    }

    @Override
    public void cancel(String number, int index) {
        ProxiedRequest request = inFlight.get(number);
        if (request != null && index < request.attempts.size()) {
            ProxiedRequest.Attempt attempt = request.attempts.get(index);
            if (request.state.isPending(index) && attempt.handle != null) {
                attempt.handle.cancel();
            }
        }
    }

    @Override
    public void timer(long atMicros, long token) {
        loop.schedule(
                () -> loadBalancer.timer(clock.getAsLong(), token),
                Math.max(0, atMicros - clock.getAsLong()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void probe(long endpointId) {}

    @Override
    public void closeIdle(long endpointId) {}

    @Override
    public void subscribe() {}

    @Override
    public void log(String message) {
        LOG.debug("service=" + service + " " + message);
    }
}
