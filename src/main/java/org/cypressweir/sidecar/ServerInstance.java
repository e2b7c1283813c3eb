package org.cypressweir.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * One process of a server at one address, with its connections; after a restart or a move the same server is
 * another instance.
 *
 * <p>Confined to the event loop. {@link ServerPool} makes it when discovery lists it, and forgets it once discovery
 * has removed it and its last connection is closed.
 */
final class ServerInstance implements Upgrade.Host {

    private final ServerPool pool;
    final InetSocketAddress address;
    /** As discovery listed it last. */
    Server listed;
    /** When the sidecar was told that it drains or is gone; 0 while it is in service. */
    long drainingSinceMicros;
    /** Not on the list any more: nothing new is sent to it. */
    boolean isRemoved;
    /** Connections of any state. */
    int connections;
    /** The most recently used last. */
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
    /** Connections that have switched to another protocol. */
    final Set<PooledConnection> switched = new LinkedHashSet<>(0);

    private double utilization;
    private double reportedInFlight;
    /** When its last load report came; 0 for never. */
    private long reportedAtMicros;

    ServerInstance(ServerPool pool, InetSocketAddress address, Server listed) {
        this.pool = pool;
        this.address = address;
        this.listed = listed;
    }

    boolean isSameAs(ServerList.Entry entry) {
        return entry.address().equals(address) && entry.server().startMicros() == listed.startMicros();
    }

    boolean isInService() {
        return drainingSinceMicros == 0;
    }

    /** Discovery lists it, perhaps in another phase than before. */
    void update(Server next, long nowMicros) {
        listed = next;
        isRemoved = next.phase() == Phase.REMOVED;
        if (next.phase() != Phase.READY) {
            drain(nowMicros);
        } else if (drainingSinceMicros != 0) {
            drainingSinceMicros = 0;
            switched.forEach(PooledConnection::serverStays);
        }
    }

    /** Discovery lists it no more. */
    void remove(long nowMicros) {
        drain(nowMicros);
        isRemoved = true;
    }

    private void drain(long nowMicros) {
        if (drainingSinceMicros == 0) {
            drainingSinceMicros = nowMicros;
            pool.idle().closeAll(this);
            switched.forEach(c -> c.serverLeaves(nowMicros));
        }
    }

    /** Nothing refers to it any more. */
    boolean isForgettable() {
        return isRemoved && connections == 0;
    }

    /** Whether an attempt that has not been written yet must not go to it any more. */
    boolean isPastDrainGrace(long nowMicros, long drainGraceMicros) {
        return isRemoved || drainingSinceMicros != 0 && nowMicros - drainingSinceMicros >= drainGraceMicros;
    }

    void report(LoadReport report, long nowMicros) {
        utilization = report.utilization();
        reportedInFlight = report.inFlight();
        reportedAtMicros = nowMicros;
    }

    @Override
    public Upgrade.Fleet fleet() {
        return pool;
    }

    @Override
    public long startMicros() {
        return listed.startMicros();
    }

    @Override
    public void carries(double requests, boolean full) {
        pool.listener().tunnelLoad(listed.id(), requests, full);
    }

    @Override
    public long toldAt() {
        return reportedAtMicros;
    }

    @Override
    public double use() {
        return utilization;
    }

    @Override
    public double requests() {
        return Double.isNaN(reportedInFlight) ? connections - idle.size() - switched.size() : reportedInFlight;
    }
}
