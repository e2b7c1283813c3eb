package org.cypressweir.sidecar;

import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Settings;
import org.cypressweir.sidecar.route.PoolConfiguration;

/** The servers of some routes: a pool, or cells with a pool each. */
interface Cluster {

    /** Whether any server is in service. */
    boolean ready();

    int knownServers();

    /** Servers on the list as last told. */
    int listed();

    /** Those of them that nothing new would be sent to now. */
    int avoided();

    /** Bytes that wait to be written to servers. */
    long waitingBytes();

    /** The servers as last told, those that are not gone. */
    ServerList list();

    /** Takes a request that is in hand from now on. */
    void take(ClientRequest call);

    /** The client of a request has left. */
    void left(ClientRequest call);

    void listed(ListKind kind, ServerList list);

    /** Discovery can't be reached. */
    void failed();

    /** Whether another plan can be taken over with what has been learned. */
    boolean fits(PoolConfiguration plan);

    /** Other limits hold from now on; what is in hand or open stays. */
    void limit(PoolConfiguration plan);

    /** Other classes and attempts hold for requests that come from now on. */
    void retune(Settings next);

    /** From now on it is one of so many instances. */
    void among(int instances);

    /**
     * Shares servers with other instances, within what these bounds leave to this one; null for no bounds.
     */
    void share(Shares shares);

    /** The bounds leave less than before, perhaps: what is idle beyond them goes at once. */
    void trim();

    /** What one instance may ask of servers that it shares. */
    interface Shares {
        /** Idle connections to so many servers. */
        int idle(int servers);

        /** Whether a probe may go out now to one of so many servers; it is spent then. */
        boolean probe(long nowMicros, int servers);
    }

    /**
     * Ends it: its servers are told as gone, so that nothing new goes to them past the drain grace, and what
     * has been sent may still be answered.
     *
     * @param ended run once all requests are forgotten and all connections closed
     */
    void retire(Runnable ended);

    void close();
}
