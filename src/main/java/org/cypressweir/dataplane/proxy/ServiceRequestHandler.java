package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Limits;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.ReportSource;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.RequestClass;
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.loadbalancing.LoadBalancer.Tenant;
import org.cypressweir.loadbalancing.SubsetLoadBalancer;
import org.jboss.logging.Logger;

/**
 * Handles the requests to one service: gives each to the load balancer, which decides on admission, endpoints,
 * retries and hedged requests, and passes these decisions to the parts that carry them out. {@link AttemptDispatcher}
 * sends attempts, {@link RequestTimers} bounds the waiting, {@link InFlightRequests} sends each client its one
 * response.
 *
 * <p>Not thread-safe: used on the event loop alone. Created at the first request to the service or with its first
 * endpoint (see {@link ServiceHandlers}), and lives until the process ends. All times are in microseconds.
 */
final class ServiceRequestHandler implements Actions {

    private static final Logger LOG = Logger.getLogger(ServiceRequestHandler.class);
    private static final int TENANT_BUCKETS = 256;
    private static final long SLOW_START_MICROS = 4_000_000;
    private static final long TIMER_RESOLUTION_MICROS = 1_000;
    private static final long MAX_RETRY_AFTER_MICROS = 500_000;
    private static final long NO_ENDPOINTS_RETRY_AFTER_MICROS = 200_000;
    /** Part of the latency target after which an idempotent request is hedged. */
    private static final double HEDGE_AFTER_PART = 0.8;

    private final String service;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final SubsetLoadBalancer loadBalancer;
    private final InFlightRequests inFlight;
    private final RequestTimers timers;
    private final AttemptDispatcher attempts;
    private final EndpointTable endpoints = new EndpointTable(SLOW_START_MICROS);
    private final RequestClassTable classes = new RequestClassTable();
    private Settings settings;

    /**
     * @param retryBudget see {@link #retryBudget}
     * @param observer is notified of all attempts
     */
    ServiceRequestHandler(
            String service,
            EventLoop loop,
            LongSupplier clock,
            AttemptTransport transport,
            String proxyName,
            int zone,
            List<String> zones,
            Rules retryBudget,
            AttemptObserver observer) {
        this.service = service;
        this.loop = loop;
        this.clock = clock;
        settings = initialSettings(service, proxyName, zone, zones, classes.classes(), retryBudget);
        loadBalancer = new SubsetLoadBalancer(settings, this);
        inFlight = new InFlightRequests(service, clock, TIMER_RESOLUTION_MICROS);
        timers = new RequestTimers(loop, clock, loadBalancer, inFlight, observer);
        attempts = new AttemptDispatcher(loop, clock, transport, loadBalancer, inFlight, timers, observer);
    }

    private static Settings initialSettings(
            String service,
            String proxyName,
            int zone,
            List<String> zones,
            List<RequestClass> classes,
            Rules retryBudget) {
        return new Settings(
                Ids.of(proxyName + service),
                (int) (Ids.of(proxyName) & 0xffff),
                1,
                zone,
                zones,
                classes,
                Collections.nCopies(TENANT_BUCKETS, new Tenant("", 0)),
                1,
                1,
                new Limits(4, true, false, true, MAX_RETRY_AFTER_MICROS, Long.MAX_VALUE / 4, 4_000, 2_000, true, 1_000),
                retryBudget,
                ReportSource.ANSWERS,
                false,
                false,
                TIMER_RESOLUTION_MICROS);
    }

    /**
     * Limits how many retries may be sent to the service's instances.
     *
     * @param windowMicros the period over which requests and retries are counted
     * @param minimum how many retries a window allows, however few requests there are
     * @param perRequest how many further retries each request allows
     */
    static Rules retryBudget(long windowMicros, double minimum, double perRequest) {
        return new Rules(0.5, SLOW_START_MICROS, 1_000_000, 1_000_000, minimum, perRequest, windowMicros);
    }

    /**
     * Replaces the endpoint list.
     *
     * @param warmAt by instance, when its slow start ends; 0 or absent if it has none
     */
    void updateEndpoints(List<Endpoint> list, List<String> zones, Map<String, Long> warmAt) {
        long now = clock.getAsLong();
        loadBalancer.servers(now, ListKind.COMPLETE, endpoints.update(now, list, zones, warmAt));
    }

    boolean hasEndpoints() {
        return !endpoints.isEmpty();
    }

    /** How many requests are in flight, including those with a response but an attempt still in flight. */
    int inFlightCount() {
        return inFlight.size();
    }

    /** Adds the requests in flight with this id to a trace. */
    void recordInFlight(String id, RequestTrace target) {
        inFlight.recordTo(target, id);
    }

    /** The proxy's own error responses since the start, by kind. */
    Map<ErrorKind, Long> localResponseCounts() {
        return inFlight.localResponseCounts();
    }

    /** The statistics of requests that have ended. */
    RequestStatistics statistics() {
        return inFlight.statistics();
    }

    // ---- Admission

    /** Takes over a request, and from now on ensures that its client gets one response, unless it has left already. */
    void handle(ProxiedRequest request) {
        long now = clock.getAsLong();
        inFlight.add(request);
        request.call.onDisconnect(() -> clientDisconnected(request));
        if (request.state.isClosed()) {
            // The client had left before: the load balancer would count an attempt that nobody sends or ends.
            return;
        }
        if (endpoints.isEmpty()) {
            inFlight.respondError(request, ErrorKind.NOT_READY, NO_ENDPOINTS_RETRY_AFTER_MICROS);
            inFlight.removeIfEnded(request);
            return;
        }
        timers.scheduleDeadline(request, now);
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
        timers.scheduleAdmissionTimeout(request);
    }

    private static RequestPolicy attemptTerms(ProxiedRequest request) {
        int hedgedRequests = request.route.idempotent() && !request.internal ? 1 : 0;
        return new RequestPolicy(
                Math.max(1, request.route.maxAttempts()),
                0,
                RequestPolicy.NONE.retryOn(),
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
            loadBalancer.reconfigure(clock.getAsLong(), settings);
        }
        return number;
    }

    private void clientDisconnected(ProxiedRequest request) {
        if (!request.state.isClosed()) {
            request.clientDisconnected();
            loadBalancer.clientLeft(clock.getAsLong(), request.number);
            inFlight.removeIfEnded(request);
        }
    }

    // ---- Actions of the load balancer

    @Override
    public void send(String number, long endpointId, long timeoutMicros) {
        ProxiedRequest request = inFlight.find(number);
        if (request != null) {
            attempts.send(request, endpoints.find(endpointId));
        }
    }

    @Override
    public void refuse(String number, long retryAfterMicros) {
        inFlight.reject(number, retryAfterMicros);
    }

    @Override
    public void fail(String number) {
        inFlight.fail(number);
    }

    @Override
    public void cancel(String number, int index) {
        ProxiedRequest request = inFlight.find(number);
        if (request != null) {
            attempts.cancel(request, index);
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
