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
 * The request handlers of all services, created when a service is first seen. Each service has two, so that tenants'
 * requests don't hold up the internal calls of applications. Used on the event loop alone.
 */
final class ServiceHandlers {

    private static final long DEFAULT_RETRY_WINDOW_MICROS = 10_000_000;
    /** The part of the total retries allowed by the settings that this proxy uses. */
    private static final double RETRY_SLACK_PART = 0.5;
    /** The part of the retries per request allowed by the settings that this proxy uses. */
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
     * @param proxyCount gives the number of proxies among which the retries of the settings are divided
     * @param onNewHandler called when a handler was created, which has no endpoints yet
     * @param observers gives the observer of the attempts at a service
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

    /** The handler of a service, for internal calls or for requests of tenants; created if there is none. */
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
        // A service has two handlers, one for tenants' requests and one for internal calls: each gets half.
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

    /** How many requests to a service are in flight, of tenants and internal ones. */
    int inFlightCount(String service) {
        ServiceRequestHandler tenants = tenantHandlers.get(service);
        ServiceRequestHandler internal = internalHandlers.get(service);
        return (tenants == null ? 0 : tenants.inFlightCount()) + (internal == null ? 0 : internal.inFlightCount());
    }

    /** Whether any service has endpoints. */
    boolean hasEndpoints() {
        return tenantHandlers.values().stream().anyMatch(ServiceRequestHandler::hasEndpoints);
    }

    /** Adds the requests in flight with this id to a trace. */
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
