package org.cypressweir.sidecar;

import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.cypressweir.fleet.membership.MembershipOptions;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Actions;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.plugin.RequestView;

/** The listening addresses, routes and pools of a sidecar: the part that an operators' file may change. */
interface Layout {

    /**
     * What a layout is created with. The consumer is given the schedule on which discovery is polled from then on, null
     * for a watch.
     */
    record Context(
            SidecarConfiguration config,
            Pool.Shared shared,
            BiFunction<Settings, Actions, LoadBalancer> loadBalancerFactory,
            RequestReader reader,
            ClientListener clientListener,
            Consumer<Discovery.PollSchedule> pollScheduleConsumer,
            FleetPortion fleetPortion) {}

    /** Creates the layout of a sidecar. */
    interface Factory {
        Layout create(Context parts);
    }

    /** This process's share of the limits that all processes have together, if it depends on how many are alive. */
    interface FleetPortion {
        /** The current share, from 0 to 1. */
        double fraction();

        /** Number of processes that share the limits. */
        int processCount();
    }

    /** A file that has been read and validated but is not in effect yet. */
    interface Change {
        /**
         * Applies the file, on the event loop. The future fails if that is not possible, and then nothing has changed.
         */
        CompletableFuture<Void> apply();

        /** This process's membership options from then on; null if the file has none. */
        default MembershipOptions membership() {
            return null;
        }
    }

    /** Gives each pool its first list of servers. */
    void open();

    /** Opens the listening sockets; completes with the first address once clients can connect to all of them. */
    CompletableFuture<InetSocketAddress> listen();

    /** Finds the route of a request, or throws if it has none. */
    RouteDecision route(FullHttpRequest http) throws RequestReader.BadRequest;

    /** The plug-ins that are called before a request is routed; null for none. */
    default PluginChain plugins() {
        return null;
    }

    /** The part of a request that plug-ins see. */
    default RequestView view(FullHttpRequest http) throws RequestReader.BadRequest {
        throw new IllegalStateException("there are no plug-ins");
    }

    /** Whether any route accepts requests for an upgrade. */
    default boolean supportsUpgrades() {
        return false;
    }

    /** Bytes waiting to be written to servers. */
    long waitingBytes();

    /** The process is shutting down: closes upgraded connections in an orderly way. */
    default void stopping() {}

    /** Whether any pool has a server in service. */
    boolean ready();

    /** The clusters whose servers come from discovery. */
    Collection<Cluster> discoveredClusters();

    /**
     * Reads its file again, for use with this configuration's classes and limits. Must be called off the event loop.
     */
    Change reload(SidecarConfiguration next) throws IOException;

    /** This process's share of the common limits has changed. */
    default void fleetPortionChanged() {}

    /** More file descriptors are available than at its creation, and the limits grow accordingly. */
    default void raiseLimits(SidecarConfiguration wider) {}

    void close();
}
