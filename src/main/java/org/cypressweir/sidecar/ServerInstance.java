package org.cypressweir.sidecar;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * One process of a server at one address, with its connections. After a restart or a move the same server is another
 * instance.
 *
 * <p>Confined to the event loop. {@link ServerPool} creates it when discovery lists it, and forgets it once discovery
 * has removed it and its last connection is closed.
 */
final class ServerInstance implements Upgrade.UpgradeServer {

    private final ServerPool pool;
    final InetSocketAddress address;
    /** The server as discovery last listed it. */
    Server descriptor;
    /** When the sidecar learned that it is draining or removed; 0 while it is in service. */
    long drainingSinceMicros;
    /** No longer on the list: nothing new is sent to it. */
    boolean isRemoved;
    /** Number of connections in any state. */
    int connections;
    /** Idle connections, the most recently used last. */
    final ArrayDeque<PooledConnection> idle = new ArrayDeque<>();
    /** Connections that have switched to another protocol. */
    final Set<PooledConnection> switched = new LinkedHashSet<>(0);

    private double utilization;
    private double reportedInFlight;
    /** When its last load report arrived; 0 for never. */
    private long reportedAtMicros;

    ServerInstance(ServerPool pool, InetSocketAddress address, Server listed) {
        this.pool = pool;
        this.address = address;
        this.descriptor = listed;
    }

    boolean isSameInstance(ServerList.Entry entry) {
        return entry.address().equals(address) && entry.server().startMicros() == descriptor.startMicros();
    }

    boolean isInService() {
        return drainingSinceMicros == 0;
    }

    /** Applies a new listing, whose phase may differ from the last one's. */
    void update(Server next, long nowMicros) {
        descriptor = next;
        isRemoved = next.phase() == Phase.REMOVED;
        if (next.phase() != Phase.READY) {
            drain(nowMicros);
        } else if (drainingSinceMicros != 0) {
            drainingSinceMicros = 0;
            switched.forEach(PooledConnection::serverInService);
        }
    }

    /** Discovery no longer lists it. */
    void remove(long nowMicros) {
        drain(nowMicros);
        isRemoved = true;
    }

    private void drain(long nowMicros) {
        if (drainingSinceMicros == 0) {
            drainingSinceMicros = nowMicros;
            pool.idle().closeAll(this);
            switched.forEach(c -> c.serverDraining(nowMicros));
        }
    }

    /** Whether it has been removed and has no connections left. */
    boolean canBeForgotten() {
        return isRemoved && connections == 0;
    }

    /** Whether attempts that are not written yet must no longer be sent to it. */
    boolean isPastDrainGrace(long nowMicros, long drainGraceMicros) {
        return isRemoved || drainingSinceMicros != 0 && nowMicros - drainingSinceMicros >= drainGraceMicros;
    }

    void report(LoadReport report, long nowMicros) {
        utilization = report.utilization();
        reportedInFlight = report.inFlight();
        reportedAtMicros = nowMicros;
    }

    @Override
    public Upgrade.ServerGroup group() {
        return pool;
    }

    @Override
    public long startMicros() {
        return descriptor.startMicros();
    }

    @Override
    public void setTunnelLoad(double requests, boolean full) {
        pool.listener().tunnelLoadChanged(descriptor.id(), requests, full);
    }

    @Override
    public long loadReportedAt() {
        return reportedAtMicros;
    }

    @Override
    public double reportedLoad() {
        return utilization;
    }

    @Override
    public double requests() {
        return Double.isNaN(reportedInFlight) ? connections - idle.size() - switched.size() : reportedInFlight;
    }
}
