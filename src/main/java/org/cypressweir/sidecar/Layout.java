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

/** The addresses, routes and pools of a sidecar; what an operators' file may change. */
interface Layout {

    /** What a layout is made with; the pace is how discovery is asked from then on, null for a watch. */
    record Parts(
            SidecarConfiguration config,
            Pool.Shared shared,
            BiFunction<Settings, Actions, LoadBalancer> modules,
            RequestReader reader,
            ClientListener clients,
            Consumer<Discovery.Pace> pace,
            Portion portion) {}

    /** Makes the layout of a sidecar out of its parts. */
    interface Factory {
        Layout create(Parts parts);
    }

    /** What this process may use of what all share, where that follows the living. */
    interface Portion {
        /** At this moment, 0 to 1. */
        double part();

        /** Processes that share. */
        int count();
    }

    /** A file that was read and found good, before it holds. */
    interface Change {
        /** Takes it over, on the loop; the future fails where that can't be, and then nothing has changed. */
        CompletableFuture<Void> take();

        /** How this process takes part among others from then on; null where that is not said. */
        default MembershipOptions membership() {
            return null;
        }
    }

    /** Hands each pool its first list. */
    void open();

    /** Opens the doors; gives the first address once clients can connect to all. */
    CompletableFuture<InetSocketAddress> listen();

    /** The way of a request, or why it has none. */
    RouteDecision way(FullHttpRequest http) throws RequestReader.BadRequest;

    /** What is asked before a request finds its way; null for nothing. */
    default PluginChain plugins() {
        return null;
    }

    /** What plug-ins see of a request. */
    default RequestView view(FullHttpRequest http) throws RequestReader.BadRequest {
        throw new IllegalStateException("there are no plug-ins");
    }

    /** Whether requests for an upgrade can have a way as such. */
    default boolean upgrades() {
        return false;
    }

    /** Bytes that wait to be written to servers. */
    long waitingBytes();

    /** The process is to end: what has gone over to another protocol ends in order. */
    default void stopping() {}

    /** Whether a request would find a server in some pool. */
    boolean ready();

    /** The pools whose servers discovery tells. */
    Collection<Cluster> discovered();

    /**
     * Reads again what it was made of, to hold with this configuration's classes and limits; to be called off
     * the loop.
     */
    Change reread(SidecarConfiguration next) throws IOException;

    /** This process's part of what all share is another. */
    default void portioned() {}

    /** There are more descriptors now than it was made with. */
    default void widen(SidecarConfiguration wider) {}

    void close();
}
