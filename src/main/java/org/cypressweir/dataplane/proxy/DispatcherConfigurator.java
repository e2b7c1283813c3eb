package org.cypressweir.dataplane.proxy;

import java.util.function.Supplier;
import org.cypressweir.common.settings.NodeSettings;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.dataplane.http.upstream.InstanceIncarnation;
import org.cypressweir.dataplane.http.upstream.UpstreamDispatcher;

/**
 * Tells the dispatcher which application instance to send requests to, and over how many connections. Once an instance
 * has been draining for most of its drain time, it gets no more requests.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as the proxy.
 */
final class DispatcherConfigurator {

    private static final long DEFAULT_DRAIN_MICROS = 2_500_000;
    /** Part of the drain time after which nothing more is dispatched to a draining instance. */
    private static final double DISPATCH_DRAIN_PART = 0.8;

    private final UpstreamDispatcher dispatcher;
    private final ApplicationLifecycleHandler application;
    private final RoutingTableLoader routingTables;
    private final Supplier<NodeSettings> settings;

    DispatcherConfigurator(
            UpstreamDispatcher dispatcher,
            ApplicationLifecycleHandler application,
            RoutingTableLoader routingTables,
            Supplier<NodeSettings> settings) {
        this.dispatcher = dispatcher;
        this.application = application;
        this.routingTables = routingTables;
        this.settings = settings;
    }

    /** @param instance null where there is none */
    void updateInstance(ApplicationInstance instance) {
        dispatcher.setInstance(incarnation(instance));
        limitConnections();
    }

    private static InstanceIncarnation incarnation(ApplicationInstance instance) {
        return instance == null
                ? null
                : new InstanceIncarnation(
                        instance.id(), instance.service(), instance.slots(), instance.draining(), instance.warmAt());
    }

    /** Applies the connection limit that the configuration in force sets for the instance's service. */
    void limitConnections() {
        ApplicationInstance instance = application.instance();
        if (instance != null) {
            int maxConnections = routingTables.current().maxConnections(instance.service());
            if (maxConnections > 0) {
                dispatcher.maxConnections(maxConnections);
            }
        }
    }

    /** Stops the dispatch to an instance whose drain time is nearly over. */
    void stopDispatchToDrainedInstance(long now) {
        long drainingSince = application.drainingSince();
        if (drainingSince != 0 && now - drainingSince > DISPATCH_DRAIN_PART * drainMicros()) {
            dispatcher.setInstance(null);
        }
    }

    private long drainMicros() {
        return settings.get().durationMicros("drain", DEFAULT_DRAIN_MICROS);
    }
}
