package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.quota.Admission;
import org.cypressweir.dataplane.quota.QuotaGate;
import org.cypressweir.dataplane.quota.TenantLimit;

/**
 * Accepts requests of clients and of the application on this machine, looks up the route, tenant and service of each,
 * and enforces the tenant's rate limit. Runs on the event loop alone; times are in microseconds.
 */
final class OutboundListener implements RequestHandler {

    private static final String ID_HEADER = "Cypressweir-Attempt-Id";
    private static final String KEY_HEADER = "Cypressweir-Key";
    private static final String TENANT_HEADER = "Cypressweir-Tenant-Name";
    private static final String CALLER_HEADER = "Cypressweir-Caller-Service";
    private static final String INSTANCE_HEADER = "Cypressweir-Target-Instance";
    private static final String TIME_REMAINING_HEADER = "Cypressweir-Time-Remaining";
    /** The longest margin for the network: a client's time-out starts when it sends, not when the request arrives. */
    private static final long MAX_NETWORK_MARGIN_MICROS = 15_000;

    private static final int NETWORK_MARGIN_DIVISOR = 12;
    private static final long MAX_TIME_REMAINING_MILLIS = 3_600_000;
    private static final long NO_CONFIGURATION_RETRY_AFTER_MICROS = 300_000;
    private static final long NO_SERVICE_RETRY_AFTER_MICROS = 200_000;

    private final LongSupplier clock;
    private final Supplier<RoutingTable> routingTable;
    private final Supplier<String> ownService;
    private final QuotaGate quotas;
    private final ServiceHandlers handlers;
    private final RolloutRouting rollouts;
    private final RequestTrace trace;
    private final Map<String, Long> rejectionCounts = new HashMap<>();
    private long lastNumber;

    /**
     * @param ownService gives the service of the application on this machine; may give null
     * @param rollouts selects the version of the service during a rollout
     * @param trace where ended requests are recorded
     */
    OutboundListener(
            LongSupplier clock,
            Supplier<RoutingTable> routingTable,
            Supplier<String> ownService,
            QuotaGate quotas,
            ServiceHandlers handlers,
            RolloutRouting rollouts,
            RequestTrace trace) {
        this.rollouts = rollouts;
        this.clock = clock;
        this.routingTable = routingTable;
        this.ownService = ownService;
        this.quotas = quotas;
        this.handlers = handlers;
        this.trace = trace;
    }

    @Override
    public void handle(ServerRequest call) {
        RoutingTable table = routingTable.get();
        if (table.isEmpty()) {
            reject(call, ErrorKind.NOT_READY, NO_CONFIGURATION_RETRY_AFTER_MICROS);
            return;
        }
        RouteConfiguration route = table.route(call.host(), call.path());
        if (route == null) {
            reject(call, ErrorKind.NO_ROUTE, 0);
            return;
        }
        String id = call.header(ID_HEADER);
        if (id == null || id.isEmpty()) {
            reject(call, ErrorKind.MALFORMED, 0);
            return;
        }
        if (!table.requiresKeys() || route.publicAccess()) {
            handle(call, id, route, null);
            return;
        }
        TenantConfiguration tenant = table.tenantByKey(call.header(KEY_HEADER));
        if (tenant == null) {
            reject(call, ErrorKind.NO_KEY, 0);
            return;
        }
        Admission admission = quotas.admit(
                clock.getAsLong(),
                tenant.name(),
                TenantLimit.of(tenant),
                () -> handle(call, id, route, tenant),
                retryAfterMicros -> reject(call, ErrorKind.OVER_QUOTA, retryAfterMicros));
        if (admission.isWaiting()) {
            call.onDisconnect(() -> clientLeft(call, admission));
        }
    }

    private void clientLeft(ServerRequest call, Admission admission) {
        if (!admission.isWaiting()) {
            return;
        }
        admission.cancel();
        trace.addRequest(call.header(ID_HEADER), call.host(), call.path(), call.arrivedMicros());
        trace.setResponse(clock.getAsLong(), 0, null);
    }

    /** @param tenant null for a call that needs no API key, which is treated as an internal call */
    private void handle(ServerRequest call, String id, RouteConfiguration route, TenantConfiguration tenant) {
        boolean isInternal = tenant == null;
        String service = selectService(route, id);
        if (service == null) {
            reject(call, ErrorKind.NOT_READY, NO_SERVICE_RETRY_AFTER_MICROS);
            return;
        }
        long arrivedAt = call.arrivedMicros();
        long remaining = Math.min(timeRemainingMillis(call) * 1000, route.timeoutMicros());
        long deadline = arrivedAt + remaining - Math.min(MAX_NETWORK_MARGIN_MICROS, remaining / NETWORK_MARGIN_DIVISOR);
        handlers.handler(rollouts.selectGroup(service, id, this::hasEndpoints), isInternal)
                .handle(new ProxiedRequest(
                        Long.toString(++lastNumber),
                        call,
                        id,
                        route,
                        isInternal ? null : tenant.name(),
                        priority(route, tenant),
                        isInternal,
                        arrivedAt,
                        Math.min(deadline, arrivedAt + route.targetLatencyMicros()),
                        deadline,
                        forwardedHeaders(call, tenant),
                        trace));
    }

    private static int priority(RouteConfiguration route, TenantConfiguration tenant) {
        return tenant != null && tenant.priority() != null ? tenant.priority() : route.priority();
    }

    private List<Map.Entry<String, String>> forwardedHeaders(ServerRequest call, TenantConfiguration tenant) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(Headers.without(
                Headers.endToEnd(call.headers()),
                KEY_HEADER,
                TENANT_HEADER,
                CALLER_HEADER,
                INSTANCE_HEADER,
                TIME_REMAINING_HEADER));
        String caller = ownService.get();
        if (caller != null) {
            headers.add(Map.entry(CALLER_HEADER, caller));
        }
        if (tenant != null) {
            headers.add(Map.entry(TENANT_HEADER, tenant.name()));
        }
        return headers;
    }

    /** The remaining time that the client's header states; the maximum if there is none or it can't be parsed. */
    private static long timeRemainingMillis(ServerRequest call) {
        String text = call.header(TIME_REMAINING_HEADER);
        if (text == null) {
            return MAX_TIME_REMAINING_MILLIS;
        }
        try {
            return Math.max(1, Math.min(MAX_TIME_REMAINING_MILLIS, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return MAX_TIME_REMAINING_MILLIS;
        }
    }

    /**
     * Selects one of the route's services by their weights and the request's id, so that retries go to the same one.
     * Services without endpoints are left out unless none has any. Null if no service has a weight.
     */
    private String selectService(RouteConfiguration route, String id) {
        String lastAvailable = null;
        double totalWeight = 0;
        for (WeightedDestination destination : route.destinations()) {
            if (isAvailable(destination)) {
                totalWeight += destination.weight();
                lastAvailable = destination.service();
            }
        }
        if (totalWeight == 0) {
            return firstWithWeight(route);
        }
        double position = RequestPosition.SERVICE.of(id) * totalWeight;
        for (WeightedDestination destination : route.destinations()) {
            if (isAvailable(destination)) {
                position -= destination.weight();
                if (position < 0) {
                    return destination.service();
                }
            }
        }
        return lastAvailable;
    }

    private static String firstWithWeight(RouteConfiguration route) {
        for (WeightedDestination destination : route.destinations()) {
            if (destination.weight() > 0) {
                return destination.service();
            }
        }
        return null;
    }

    private boolean isAvailable(WeightedDestination destination) {
        return destination.weight() > 0 && rollouts.isAvailable(destination.service(), this::hasEndpoints);
    }

    private boolean hasEndpoints(String service) {
        return handlers.handler(service, false).hasEndpoints();
    }

    private void reject(ServerRequest call, ErrorKind error, long retryAfterMicros) {
        rejectionCounts.merge(error.name(), 1L, Long::sum);
        ServerResponse response = LocalResponses.of(error, retryAfterMicros);
        trace.addRequest(call.header(ID_HEADER), call.host(), call.path(), call.arrivedMicros());
        trace.setResponse(clock.getAsLong(), response.status(), error);
        call.answer(response);
    }

    /** Requests that were rejected before any attempt, since the start, by kind of error. */
    Map<String, Long> rejectionCounts() {
        return rejectionCounts;
    }
}
