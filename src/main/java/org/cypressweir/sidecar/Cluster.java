package org.cypressweir.sidecar;

import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.route.PoolConfiguration;

/** The servers behind some routes: one pool, or cells with a pool each. */
interface Cluster {

    /** Whether any server is in service. */
    boolean ready();

    int knownServers();

    /** Servers on the latest list. */
    int listedServers();

    /** Servers on the latest list to which no new request would be sent now. */
    int avoidedServers();

    /** Bytes waiting to be written to servers. */
    long waitingBytes();

    /** The servers on the latest list, without removed ones. */
    ServerList serverList();

    /** Accepts a request, which is in flight from now on. */
    void accept(ClientRequest request);

    /** The client of a request has disconnected. */
    void clientDisconnected(ClientRequest request);

    void updateServers(ListKind kind, ServerList list);

    /** Discovery can't be reached. */
    void discoveryFailed();

    /** Whether another configuration can be applied without losing what has been learned about the servers. */
    boolean isCompatibleWith(PoolConfiguration configuration);

    /** Applies other limits; requests in flight and open connections stay. */
    void applyLimits(PoolConfiguration configuration);

    /** Applies other request classes and attempt settings to requests that arrive from now on. */
    void updateSettings(Settings next);

    /** Sets the number of instances that share the servers. */
    void setInstanceCount(int instances);

    /** Limits this instance to its share of what all instances may use; null for no limits. */
    void setFleetShare(FleetShare share);

    /** Closes idle connections beyond this instance's share, which may have shrunk. */
    void closeSurplusIdle();

    /** What one instance may use of the servers that it shares with others. */
    interface FleetShare {
        /** The limit on idle connections to this number of servers. */
        int maxIdleConnections(int servers);

        /** Takes one probe to one of this number of servers from the budget; false if none is left now. */
        boolean tryAcquireProbe(long nowMicros, int servers);
    }

    /**
     * Shuts the cluster down. Its servers are reported as removed, so that nothing new is sent to them past the drain
     * grace, while requests already sent may still get a response.
     *
     * @param whenRetired run once all requests are forgotten and all connections closed
     */
    void retire(Runnable whenRetired);

    void close();
}
