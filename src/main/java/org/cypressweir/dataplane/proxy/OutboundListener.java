package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.transport.ErrorKind;
import org.cypressweir.common.util.Ids;
import org.cypressweir.controlplane.configuration.RouteConfiguration;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.configuration.WeightedDestination;
import org.cypressweir.dataplane.http.server.Headers;
import org.cypressweir.dataplane.http.server.RequestHandler;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;
import org.cypressweir.dataplane.quota.QuotaShares;

/** Takes requests of clients and of the server on this machine: finds route, tenant and service of each. */
final class OutboundListener implements RequestHandler {

    private static final String ID = "Cypressweir-Attempt-Id";
    private static final String KEY = "Cypressweir-Key";
    private static final String TENANT = "Cypressweir-Tenant-Name";
    private static final String CALLER = "Cypressweir-Caller-Service";
    private static final String INSTANCE = "Cypressweir-Target-Instance";
    private static final String LEFT = "Cypressweir-Time-Remaining";
    /** The client's time runs from when it sent; this much is kept for the way here and back, at most. */
    private static final long MARGIN = 15_000;

    private static final int MARGIN_PART = 12;
    private static final long MOST_LEFT = 3_600_000;

    private final LongSupplier micros;
    private final Supplier<RoutingTable> bearings;
    private final Supplier<String> caller;
    private final QuotaShares quotas;
    private final BiFunction<String, Boolean, ServiceRequestHandler> helms;
    private final RequestTrace wake;
    private final Map<String, Long> counts = new HashMap<>();
    private long numbers;

    /**
     * @param caller the service of this machine
     * @param helms the way to a service, for requests of tenants or for calls without one
     * @param wake where it is kept which way requests went
     */
    OutboundListener(
            LongSupplier micros,
            Supplier<RoutingTable> bearings,
            Supplier<String> caller,
            QuotaShares quotas,
            BiFunction<String, Boolean, ServiceRequestHandler> helms,
            RequestTrace wake) {
        this.micros = micros;
        this.bearings = bearings;
        this.caller = caller;
        this.quotas = quotas;
        this.helms = helms;
        this.wake = wake;
    }

    @Override
    public void handle(ServerRequest call) {
        RoutingTable now = bearings.get();
        if (now.manifest().items().isEmpty()) {
            refuse(call, ErrorKind.NOT_READY, 300_000);
            return;
        }
        RouteConfiguration route = now.route(call.host(), call.path());
        if (route == null) {
            refuse(call, ErrorKind.NO_ROUTE, 0);
            return;
        }
        String id = call.header(ID);
        if (id == null || id.isEmpty()) {
            refuse(call, ErrorKind.MALFORMED, 0);
            return;
        }
        TenantConfiguration tenant = null;
        if (now.keyed() && !route.open()) {
            tenant = now.tenant(call.header(KEY));
            if (tenant == null) {
                refuse(call, ErrorKind.NO_KEY, 0);
                return;
            }
            long wait = quotas.ask(micros.getAsLong(), tenant.name(), tenant.ratePerS(), tenant.burst());
            if (wait > 0) {
                refuse(call, ErrorKind.OVER_QUOTA, wait);
                return;
            }
        }
        go(call, id, route, tenant);
    }

    private void go(ServerRequest call, String id, RouteConfiguration route, TenantConfiguration tenant) {
        long arrived = call.arrivedMicros();
        long left = Math.min(millis(call.header(LEFT)) * 1000, route.timeoutMicros());
        long deadline = arrived + left - Math.min(MARGIN, left / MARGIN_PART);
        long aimAt = Math.min(deadline, arrived + route.aimMicros());
        String service = service(route, id);
        ServiceRequestHandler helm = service == null ? null : helms.apply(service, tenant == null);
        if (helm == null) {
            refuse(call, ErrorKind.NOT_READY, 200_000);
            return;
        }
        int rank = tenant != null && tenant.priority() != null ? tenant.priority() : route.priority();
        List<Map.Entry<String, String>> headers =
                new ArrayList<>(Headers.without(Headers.endToEnd(call.headers()), KEY, TENANT, CALLER, INSTANCE, LEFT));
        String from = caller.get();
        if (from != null) {
            headers.add(Map.entry(CALLER, from));
        }
        if (tenant != null) {
            headers.add(Map.entry(TENANT, tenant.name()));
        }
        helm.take(new ProxiedRequest(
                Long.toString(++numbers),
                call,
                id,
                route,
                tenant == null ? null : tenant.name(),
                rank,
                tenant == null,
                arrived,
                aimAt,
                deadline,
                headers,
                wake));
    }

    private static long millis(String text) {
        try {
            return text == null ? MOST_LEFT : Math.max(1, Math.min(MOST_LEFT, Long.parseLong(text.trim())));
        } catch (NumberFormatException e) {
            return MOST_LEFT;
        }
    }

    /** One of the route's services, by their weights; of those that have servers while any has. */
    private String service(RouteConfiguration route, String id) {
        String only = null;
        double all = 0;
        for (WeightedDestination split : route.splits()) {
            if (split.weight() > 0 && has(split)) {
                all += split.weight();
                only = split.service();
            }
        }
        if (all == 0) {
            return route.splits().stream()
                    .filter(s -> s.weight() > 0)
                    .map(WeightedDestination::service)
                    .findFirst()
                    .orElse(null);
        }
        double at = (Ids.of(id) >>> 10 & 0xfffff) / (double) 0x100000 * all;
        for (WeightedDestination split : route.splits()) {
            if (split.weight() > 0 && has(split)) {
                at -= split.weight();
                if (at < 0) {
                    return split.service();
                }
            }
        }
        return only;
    }

    private boolean has(WeightedDestination split) {
        ServiceRequestHandler helm = helms.apply(split.service(), false);
        return helm != null && helm.hasServers();
    }

    private void refuse(ServerRequest call, ErrorKind fault, long againMicros) {
        counts.merge(fault.name(), 1L, Long::sum);
        ServerResponse answer = LocalResponses.of(fault, againMicros);
        wake.request(call.header(ID), call.host(), call.path(), call.arrivedMicros());
        wake.answer(micros.getAsLong(), answer.status(), fault);
        call.answer(answer);
    }

    /** Refusals by kind, since the start. */
    Map<String, Long> counts() {
        return counts;
    }
}
