package org.cypressweir.sidecar;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import org.cypressweir.loadbalancing.CachedMeasurement;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Rules;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.sidecar.ClientRequest.Attempt;
import org.cypressweir.sidecar.route.PoolConfiguration;

/**
 * The servers of a pool, their connections, and the attempts on them. A connection carries one attempt at a time; the
 * pool itself never sends anything a second time.
 *
 * <p>Confined to the event loop. It has no servers until the first {@link #update}; after {@link #close} nothing is
 * started on it.
 */
final class ServerPool implements Upgrade.ServerGroup {

    /** Receives events of attempts and the load of upgraded connections, always on the event loop. */
    interface Listener {
        /** An attempt has ended. The response is null if no server gave one, and is valid only during the call. */
        void attemptEnded(Attempt attempt, Result result, LoadReport report, FullHttpResponse response);

        /** A 200 response is too large to be buffered. Returns where it is streamed to; null to drop it. */
        default StreamedResponse startStreaming(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
            return null;
        }

        /** The last byte of an attempt has been handed to the network. */
        default void attemptWritten() {}

        /** A server's load from upgraded connections, in requests in flight, and whether it accepts no more of them. */
        default void tunnelLoadChanged(long server, double requests, boolean full) {}
    }

    /**
     * How long a connection is not reused after a response: a duplicate of that response may arrive this much later.
     */
    static final long REUSE_DELAY_MICROS = 20_000;
    /** For how long the computed number of warm servers stays valid. */
    private static final long WARM_SERVERS_MAX_AGE_MICROS = 20_000;

    private static final long MAX_SWEEP_MICROS = 1_000_000;
    private static final int SWEEPS_PER_IDLE_TIME = 10;

    private final EventLoop loop;
    private final SidecarClock clock;
    private final Listener listener;
    private final long connectMicros;
    private final long drainGraceMicros;
    private final long maxIdleMicros;
    private final Rules rules;
    private final Map<Long, ServerInstance> servers = new HashMap<>();
    private final Map<Attempt, PooledConnection> connectionsByAttempt = new HashMap<>();
    private final IdleConnections idle = new IdleConnections();
    private final CachedMeasurement warmServers = new CachedMeasurement(WARM_SERVERS_MAX_AGE_MICROS);
    private int openConnections;
    private int maxConnections;
    /** The limit on idle connections, by the number of servers; null for no limit. */
    private IntUnaryOperator maxIdle;
    /** The limits of upgraded connections; null where nothing switches to another protocol. */
    private PoolConfiguration.TunnelLimits tunnels;

    ServerPool(
            EventLoop loop,
            SidecarClock clock,
            SidecarConfiguration config,
            int maxConnections,
            PoolConfiguration.TunnelLimits tunnels,
            Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.tunnels = tunnels;
        this.listener = listener;
        rules = config.settings().rules();
        connectMicros = config.connectTimeoutMicros();
        drainGraceMicros = config.drainGraceMicros();
        maxIdleMicros = config.settings().limits().idleMicros();
        long sweep = Math.max(1, Math.min(MAX_SWEEP_MICROS, maxIdleMicros / SWEEPS_PER_IDLE_TIME));
        loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    // ---- Servers

    /** Applies a list, or changes, from discovery. */
    void update(ServerList list) {
        long nowMicros = clock.micros();
        Set<Long> listedIds = new HashSet<>();
        for (ServerList.Entry entry : list.entries()) {
            listedIds.add(entry.server().id());
            update(entry, nowMicros);
        }
        if (list.complete()) {
            removeAllBut(listedIds, nowMicros);
            servers.values().removeIf(ServerInstance::canBeForgotten);
        } else {
            listedIds.forEach(id -> servers.computeIfPresent(id, (i, s) -> s.canBeForgotten() ? null : s));
        }
    }

    private void update(ServerList.Entry entry, long nowMicros) {
        Server listed = entry.server();
        ServerInstance server = servers.get(listed.id());
        if (server != null && !server.isSameInstance(entry)) {
            server.remove(nowMicros);
            server = null;
        }
        if (server == null) {
            server = new ServerInstance(this, entry.address(), listed);
            servers.put(listed.id(), server);
        }
        server.update(listed, nowMicros);
    }

    private void removeAllBut(Set<Long> listedIds, long nowMicros) {
        for (Map.Entry<Long, ServerInstance> known : servers.entrySet()) {
            if (!listedIds.contains(known.getKey())) {
                known.getValue().remove(nowMicros);
            }
        }
    }

    int size() {
        return servers.size();
    }

    /** Servers on the list, including those that are draining. */
    int listedCount() {
        return (int) servers.values().stream().filter(s -> !s.isRemoved).count();
    }

    /** Servers on the list that are not in service. */
    int outOfServiceCount() {
        return (int) servers.values().stream()
                .filter(s -> !s.isRemoved && !s.isInService())
                .count();
    }

    /** The servers as last listed, without removed ones. */
    ServerList currentList() {
        return new ServerList(
                0,
                true,
                servers.values().stream()
                        .filter(s -> !s.isRemoved)
                        .map(s -> new ServerList.Entry(s.descriptor, s.address))
                        .toList());
    }

    /** The address of a server in service; null for any other. */
    InetSocketAddress address(long server) {
        ServerInstance found = servers.get(server);
        return found == null || !found.isInService() ? null : found.address;
    }

    /** Whether any server is in service. */
    boolean hasServerInService() {
        return servers.values().stream().anyMatch(ServerInstance::isInService);
    }

    /** Cached for a short time, because computing it visits every server. */
    @Override
    public double warmServers() {
        long nowMicros = clock.micros();
        return warmServers.get(nowMicros, () -> servers.values().stream()
                .filter(ServerInstance::isInService)
                .mapToDouble(s -> rules.slowStartShare(nowMicros, s.descriptor.startMicros()))
                .sum());
    }

    @Override
    public PoolConfiguration.TunnelLimits tunnels() {
        return tunnels;
    }

    @Override
    public Rules rules() {
        return rules;
    }

    // ---- Connection limits

    /**
     * Replaces the connection limits and closes idle connections beyond the new one. Connections in use stay, including
     * those that have switched to another protocol.
     */
    void setLimits(int connections, PoolConfiguration.TunnelLimits nextTunnels) {
        tunnels = nextTunnels;
        maxConnections = connections;
        int surplus = openConnections - maxConnections;
        while (surplus > 0 && idle.closeOldest()) {
            surplus--;
        }
    }

    /** Limits the idle connections by the number of servers, and closes the surplus; null for no limit. */
    void setMaxIdle(IntUnaryOperator byServers) {
        maxIdle = byServers;
        closeSurplusIdle();
    }

    /** Closes idle connections beyond the limit, the longest idle first. */
    void closeSurplusIdle() {
        while (maxIdle != null && idle.size() > maxIdle.applyAsInt(servers.size())) {
            idle.closeOldest();
        }
    }

    private void closeStale() {
        idle.closeOlderThan(clock.micros(), maxIdleMicros);
    }

    /** Closes the idle connections to a server. */
    void closeIdle(long server) {
        ServerInstance found = servers.get(server);
        if (found != null) {
            idle.closeAll(found);
        }
    }

    /** Bytes waiting to be written on connections that have switched to another protocol. */
    long waitingBytes() {
        return servers.values().stream()
                .flatMap(s -> s.switched.stream())
                .mapToLong(PooledConnection::waitingBytes)
                .sum();
    }

    void close() {
        servers.values().forEach(idle::closeAll);
        List.copyOf(connectionsByAttempt.keySet()).forEach(this::abandon);
    }

    // ---- Attempts

    /** Sends an attempt on the most recently used reusable connection to its server, or on a new one. */
    void start(Attempt attempt) {
        ServerInstance server = servers.get(attempt.server);
        if (server == null || server.isRemoved) {
            end(attempt, Result.NOT_SENT, null, null);
            return;
        }
        if (attempt.call.upgrade != null) {
            attempt.call.upgrade.attempted(server);
        }
        PooledConnection connection = idle.pollReusable(server, clock.micros());
        if (connection == null && openConnections >= maxConnections && !idle.closeOldest()) {
            // The limit reserves file descriptors for clients. Beyond it the attempt never leaves this process.
            end(attempt, Result.NO_CONNECTION, null, null);
            return;
        }
        if (connection != null) {
            connection.assign(attempt);
            connection.write();
        } else {
            new PooledConnection(this, server).assign(attempt);
        }
    }

    /** Abandons an attempt by closing its connection, which also tells the server. */
    void abandon(Attempt attempt) {
        PooledConnection connection = connectionsByAttempt.remove(attempt);
        if (connection != null) {
            connection.abandon();
        }
    }

    void end(Attempt attempt, Result result, LoadReport report, FullHttpResponse response) {
        connectionsByAttempt.remove(attempt);
        if (attempt.result == null) {
            listener.attemptEnded(attempt, result, report, response);
        }
    }

    // ---- For its connections

    ServerConnection connect(ServerInstance server, PooledConnection owner) {
        openConnections++;
        server.connections++;
        return new ServerConnection(loop, server.address, ServerConnection.MAX_BODY_BYTES, connectMicros, owner);
    }

    void assigned(Attempt attempt, PooledConnection connection) {
        connectionsByAttempt.put(attempt, connection);
    }

    void disconnected(ServerInstance server) {
        openConnections--;
        server.connections--;
        if (server.canBeForgotten()) {
            servers.remove(server.descriptor.id(), server);
        }
    }

    Listener listener() {
        return listener;
    }

    IdleConnections idle() {
        return idle;
    }

    long nowMicros() {
        return clock.micros();
    }

    long drainGraceMicros() {
        return drainGraceMicros;
    }
}
