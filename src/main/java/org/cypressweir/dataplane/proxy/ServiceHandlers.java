package org.cypressweir.dataplane.proxy;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.common.settings.NodeSettings;

/**
 * The request handlers of all services, made as services come up. Each service has two: what tenants send must
 * not hold up the internal calls of applications. Used on the event loop alone.
 */
final class ServiceHandlers {

    private static final long DEFAULT_RETRY_WINDOW_MICROS = 10_000_000;
    /** The part that this proxy uses of what the settings allow for retries in all. */
    private static final double RETRY_SLACK_PART = 0.5;
    /** The part that this proxy uses of what the settings allow for retries of each request. */
    private static final double RETRY_RATIO_PART = 0.5;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final AttemptTransport transport;
    private final Supplier<NodeSettings> settings;
    private final List<String> zones;
    private final IntSupplier proxyCount;
    private final Runnable onNewHandler;
    private final Function<String, AttemptObserver> observers;
    private final Map<String, ServiceRequestHandler> tenantHandlers = new HashMap<>();
    private final Map<String, ServiceRequestHandler> internalHandlers = new HashMap<>();

    /**
     * @param proxyCount over how many proxies the retries of the settings are divided
     * @param onNewHandler called when a handler was made, which has no endpoints yet
     * @param observers gives those who are told of the attempts of a service
     */
    ServiceHandlers(
            EventLoop loop,
            LongSupplier clock,
            AttemptTransport transport,
            Supplier<NodeSettings> settings,
            List<String> zones,
            IntSupplier proxyCount,
            Runnable onNewHandler,
            Function<String, AttemptObserver> observers) {
        this.observers = observers;
        this.loop = loop;
        this.clock = clock;
        this.transport = transport;
        this.settings = settings;
        this.zones = zones;
        this.proxyCount = proxyCount;
        this.onNewHandler = onNewHandler;
    }

    /** The handler of a service, for internal calls or for requests of tenants; made where there is none. */
    ServiceRequestHandler handler(String service, boolean isInternal) {
        Map<String, ServiceRequestHandler> handlers = isInternal ? internalHandlers : tenantHandlers;
        ServiceRequestHandler handler = handlers.get(service);
        if (handler == null) {
            handler = newHandler(service);
            handlers.put(service, handler);
            onNewHandler.run();
        }
        return handler;
    }

    private ServiceRequestHandler newHandler(String service) {
        NodeSettings current = settings.get();
        // Two handlers for each service, one of tenants and one of nested calls: each gets half.
        double slack = RETRY_SLACK_PART / 2 * current.number("retrySlack", 0) / Math.max(1, proxyCount.getAsInt());
        return new ServiceRequestHandler(
                service,
                loop,
                clock,
                transport,
                current.name(),
                Math.max(0, zones.indexOf(current.zone())),
                zones,
                ServiceRequestHandler.retryBudget(
                        current.durationMicros("retryWindow", DEFAULT_RETRY_WINDOW_MICROS),
                        Math.max(1, slack),
                        RETRY_RATIO_PART * current.number("retryBudgetRatio", 0)),
                observers.apply(service));
    }

    /** Replaces the endpoints of all services; those that are not in the map have none. */
    void updateEndpoints(Map<String, List<Endpoint>> endpointsByService, Map<String, Long> warmAt) {
        updateEndpoints(tenantHandlers, endpointsByService, warmAt);
        updateEndpoints(internalHandlers, endpointsByService, warmAt);
    }

    private void updateEndpoints(
            Map<String, ServiceRequestHandler> handlers,
            Map<String, List<Endpoint>> endpointsByService,
            Map<String, Long> warmAt) {
        handlers.forEach((service, handler) ->
                handler.updateEndpoints(endpointsByService.getOrDefault(service, List.of()), zones, warmAt));
    }

    /** How many requests of both kinds are in flight at a service. */
    int inFlightCount(String service) {
        ServiceRequestHandler tenants = tenantHandlers.get(service);
        ServiceRequestHandler internal = internalHandlers.get(service);
        return (tenants == null ? 0 : tenants.inFlightCount()) + (internal == null ? 0 : internal.inFlightCount());
    }

    /** Whether any service has endpoints. */
    boolean hasEndpoints() {
        return tenantHandlers.values().stream().anyMatch(ServiceRequestHandler::hasEndpoints);
    }

    /** Records the requests in flight that have this id. */
    void recordInFlight(String id, RequestTrace target) {
        tenantHandlers.values().forEach(handler -> handler.recordInFlight(id, target));
        internalHandlers.values().forEach(handler -> handler.recordInFlight(id, target));
    }

    /** The handlers of internal calls, by service. */
    Map<String, ServiceRequestHandler> internalHandlers() {
        return internalHandlers;
    }

    /** The handlers of tenants' requests, by service. */
    Map<String, ServiceRequestHandler> tenantHandlers() {
        return tenantHandlers;
    }
}
