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
 * The servers of a pool, their connections, and the attempts on them. A connection carries one attempt at a time;
 * nothing is ever sent a second time by the pool itself.
 *
 * <p>Confined to the event loop. It has no servers until the first {@link #update}; after {@link #close} nothing is
 * started on it.
 */
final class ServerPool implements Upgrade.Fleet {

    /** Is told about attempts and about load beside them, always on the event loop. */
    interface Listener {
        /** How an attempt ended; the response is there only when a server gave one, and only during the call. */
        void attemptEnded(Attempt attempt, Result result, LoadReport report, FullHttpResponse response);

        /** A 200 is too large to be kept; where it goes on to, null for nowhere. */
        default StreamedResponse streamBegins(Attempt attempt, HttpHeaders headers, long length, Runnable resume) {
            return null;
        }

        /** The last byte of an attempt has been handed to the network. */
        default void attemptWritten() {}

        /** What a server carries beside requests, in requests in flight. */
        default void tunnelLoad(long server, double requests, boolean full) {}
    }

    /** A second copy of a response may come this much later, so for as long a connection is not used again. */
    static final long SETTLE_MICROS = 20_000;
    /** For how long it counts how many servers there are and how warm. */
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
    private final Map<Attempt, PooledConnection> busy = new HashMap<>();
    private final IdleConnections idle = new IdleConnections();
    private final CachedMeasurement warmServers = new CachedMeasurement(WARM_SERVERS_MAX_AGE_MICROS);
    private int openConnections;
    private int maxConnections;
    /** Idle connections that it may keep, by the number of servers; null for no such bound. */
    private IntUnaryOperator maxIdle;
    /** Null where nothing switches to another protocol. */
    private PoolConfiguration.Tunnelled tunnels;

    ServerPool(
            EventLoop loop,
            SidecarClock clock,
            SidecarConfiguration config,
            int maxConnections,
            PoolConfiguration.Tunnelled tunnels,
            Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.tunnels = tunnels;
        this.listener = listener;
        rules = config.settings().rules();
        connectMicros = config.connectMicros();
        drainGraceMicros = config.drainGraceMicros();
        maxIdleMicros = config.settings().limits().idleMicros();
        long sweep = Math.max(1, Math.min(MAX_SWEEP_MICROS, maxIdleMicros / SWEEPS_PER_IDLE_TIME));
        loop.scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MICROSECONDS);
    }

    // ---- Servers

    /** Takes over what discovery says of the servers. */
    void update(ServerList list) {
        long nowMicros = clock.micros();
        Set<Long> named = new HashSet<>();
        for (ServerList.Entry entry : list.entries()) {
            named.add(entry.server().id());
            update(entry, nowMicros);
        }
        if (list.complete()) {
            removeAllBut(named, nowMicros);
            servers.values().removeIf(ServerInstance::isForgettable);
        } else {
            named.forEach(id -> servers.computeIfPresent(id, (i, s) -> s.isForgettable() ? null : s));
        }
    }

    private void update(ServerList.Entry entry, long nowMicros) {
        Server listed = entry.server();
        ServerInstance server = servers.get(listed.id());
        if (server != null && !server.isSameAs(entry)) {
            server.remove(nowMicros);
            server = null;
        }
        if (server == null) {
            server = new ServerInstance(this, entry.address(), listed);
            servers.put(listed.id(), server);
        }
        server.update(listed, nowMicros);
    }

    private void removeAllBut(Set<Long> named, long nowMicros) {
        for (Map.Entry<Long, ServerInstance> known : servers.entrySet()) {
            if (!named.contains(known.getKey())) {
                known.getValue().remove(nowMicros);
            }
        }
    }

    int size() {
        return servers.size();
    }

    /** Servers on the list, those that drain among them. */
    int listed() {
        return (int) servers.values().stream().filter(s -> !s.isRemoved).count();
    }

    /** Servers on the list that are not in service. */
    int draining() {
        return (int) servers.values().stream()
                .filter(s -> !s.isRemoved && !s.isInService())
                .count();
    }

    /** The servers as last listed, without those that are removed. */
    ServerList list() {
        return new ServerList(
                0,
                true,
                servers.values().stream()
                        .filter(s -> !s.isRemoved)
                        .map(s -> new ServerList.Entry(s.listed, s.address))
                        .toList());
    }

    /** Where a server that is in service listens; null for any other. */
    InetSocketAddress address(long server) {
        ServerInstance found = servers.get(server);
        return found == null || !found.isInService() ? null : found.address;
    }

    /** Whether any server is in service. */
    boolean anyReady() {
        return servers.values().stream().anyMatch(ServerInstance::isInService);
    }

    /** Measured anew after a while only, since it walks the fleet. */
    @Override
    public double warmServers() {
        long nowMicros = clock.micros();
        return warmServers.at(nowMicros, () -> servers.values().stream()
                .filter(ServerInstance::isInService)
                .mapToDouble(s -> rules.coldShare(nowMicros, s.listed.startMicros()))
                .sum());
    }

    @Override
    public PoolConfiguration.Tunnelled tunnels() {
        return tunnels;
    }

    @Override
    public Rules rules() {
        return rules;
    }

    // ---- Limits of connections

    /** Other bounds on connections; those above it end as they become idle, those that are switched stay so. */
    void setLimits(int connections, PoolConfiguration.Tunnelled nextTunnels) {
        tunnels = nextTunnels;
        maxConnections = connections;
        int surplus = openConnections - maxConnections;
        while (surplus > 0 && idle.closeOldest()) {
            surplus--;
        }
    }

    /** From now on no more idle connections than this says for so many servers; null for no such bound. */
    void setMaxIdle(IntUnaryOperator byServers) {
        maxIdle = byServers;
        closeSurplusIdle();
    }

    /** Closes what the bound on idle connections does not allow, the longest idle first. */
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

    /** Bytes that wait to be written on connections that have switched to another protocol. */
    long waitingBytes() {
        return servers.values().stream()
                .flatMap(s -> s.switched.stream())
                .mapToLong(PooledConnection::waitingBytes)
                .sum();
    }

    void close() {
        servers.values().forEach(idle::closeAll);
        List.copyOf(busy.keySet()).forEach(this::abandon);
    }

    // ---- Attempts

    /** Sends an attempt on the connection used last, or on a new one. */
    void start(Attempt attempt) {
        ServerInstance server = servers.get(attempt.server);
        if (server == null || server.isRemoved) {
            end(attempt, Result.NOT_SENT, null, null);
            return;
        }
        if (attempt.call.upgrade != null) {
            attempt.call.upgrade.tried(server);
        }
        PooledConnection connection = idle.pollSettled(server, clock.micros());
        if (connection == null && openConnections >= maxConnections && !idle.closeOldest()) {
            // The bound keeps descriptors for clients; past it the attempt never leaves this process.
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

    /** Stops an attempt, which tells the server so, and closes its connection. */
    void abandon(Attempt attempt) {
        PooledConnection connection = busy.remove(attempt);
        if (connection != null) {
            connection.abandon();
        }
    }

    void end(Attempt attempt, Result result, LoadReport report, FullHttpResponse response) {
        busy.remove(attempt);
        if (attempt.result == null) {
            listener.attemptEnded(attempt, result, report, response);
        }
    }

    // ---- For its connections

    ServerConnection connect(ServerInstance server, PooledConnection owner) {
        openConnections++;
        server.connections++;
        return new ServerConnection(loop, server.address, ServerConnection.MAX_BODY, connectMicros, owner);
    }

    void assigned(Attempt attempt, PooledConnection connection) {
        busy.put(attempt, connection);
    }

    void disconnected(ServerInstance server) {
        openConnections--;
        server.connections--;
        if (server.isForgettable()) {
            servers.remove(server.listed.id(), server);
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
