package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cypressweir.sidecar.route.TunnelBounds;
import org.cypressweir.sidecar.route.WebSocketLimits;
import org.cypressweir.sidecar.websocket.OpenTunnelLimits.Bound;

/**
 * The open tunnels of a process. One periodic sweep checks all of them, so that no tunnel needs timers of its own.
 * This class also limits how many tunnels may be open, reports their load to the load balancer, and closes them in
 * order or moves them when their server drains. Used on one event loop only.
 */
public final class Tunnels {

    private static final long SWEEP_INTERVAL_MILLIS = 50;
    private static final long WEIGHT_UPDATE_MICROS = 1_000_000;
    /** A server's own load report is used until it is this old. */
    private static final long MAX_LOAD_REPORT_AGE_MICROS = 2 * WEIGHT_UPDATE_MICROS;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private final Map<Tunnel, OpenTunnel> openTunnels = new LinkedHashMap<>();
    private final Map<Pool, PoolState> poolStates = new HashMap<>();
    private final OpenTunnelLimits<Tunnel> openTunnelLimits = new OpenTunnelLimits<>();
    private final Map<DrainGroup, DrainOrder<Tunnel>> drainOrders = new LinkedHashMap<>();
    private boolean sweepScheduled;
    private long weightsUpdatedAt;

    /** The pool that a tunnel's server belongs to; equal objects for all servers of one pool. */
    public interface Pool {
        /** Servers open to new requests; one in slow start counts as the fraction of a warm server that it can take. */
        double warmServers();

        /** The most tunnels that may be open to all servers of the pool together. */
        int maxTunnels();

        TunnelAdmission.Rule rule();
    }

    /** The server of a tunnel; equal objects for all tunnels of one server. */
    public interface Host {
        Pool pool();

        /** Time when the server started, in microseconds of the clock; 0 for long ago. */
        long startMicros();

        /** Sets the load of its tunnels, in requests in flight, and whether the server accepts no more tunnels now. */
        void setTunnelLoad(double weight, boolean full);

        /** Time of the server's last load report; 0 for never. */
        long loadReportedAt();

        /** The utilization that the server reported, from 0 to 1. */
        double utilization();

        /** Requests in flight at the server, as it reported or as this process counts them. */
        double requestsInFlight();
    }

    /** Requests another server for a tunnel; {@link #moveTo} or {@link #moveRefused} follows. */
    public interface Mover {
        void move();
    }

    /** The answer to a request for a tunnel. An admitted tunnel counts against the limits from handshake to end. */
    public static final class Permit {
        private final OpenTunnelLimits<Tunnel>.Slot slot;
        private final long retryMicros;

        private Permit(OpenTunnelLimits<Tunnel>.Slot slot, long retryMicros) {
            this.slot = slot;
            this.retryMicros = retryMicros;
        }

        /** Whether the tunnel was admitted. */
        public boolean isAdmitted() {
            return slot != null;
        }

        /** If the tunnel was rejected, after how many microseconds its client should retry. */
        public long retryMicros() {
            return retryMicros;
        }

        /** Stops counting the tunnel, for example because its handshake failed. */
        public void release() {
            if (slot != null) {
                slot.release();
            }
        }
    }

    private record DrainGroup(Pool pool, WebSocketLimits limits) {}

    private record PendingDrain(DrainGroup group, long startedAt) {}

    private static final class OpenTunnel {
        private final WebSocketLimits limits;
        private final Permit permit;
        private final Mover mover;
        private Host host;
        private double weight;
        private PendingDrain pendingDrain;

        private OpenTunnel(WebSocketLimits limits, Permit permit, Host host, Mover mover) {
            this.limits = limits;
            this.permit = permit;
            this.host = host;
            this.mover = mover;
        }
    }

    private static final class PoolState {
        private final TunnelAdmission<Host> admission;
        private final WeightFit weightFit = new WeightFit();
        /** The total weight of each server's tunnels, in requests in flight, before correction. */
        private final Map<Host, Double> tunnelWeights = new HashMap<>();

        private PoolState(TunnelAdmission.Rule rule) {
            admission = new TunnelAdmission<>(rule);
        }
    }

    /** Creates the set for one event loop, with a clock in microseconds. */
    public Tunnels(EventLoop loop, LongSupplier clock, SplittableRandom random) {
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    // ---- Admission

    /** Requests one more tunnel for a route and tenant; an idle tunnel may be evicted to make room. */
    public Permit requestAdmission(Pool pool, int tenant, WebSocketLimits limits, int maxTunnels) {
        long now = clock.getAsLong();
        TunnelBounds bounds = limits.bounds();
        TunnelAdmission<Host> admission = poolState(pool).admission;
        refreshAdmission(pool, now);
        long retry = admission.admit(now, pool.warmServers(), random);
        if (retry >= 0) {
            return new Permit(null, retry);
        }
        OpenTunnelLimits.Decision<Tunnel> decision = openTunnelLimits.acquire(
                List.of(
                        new Bound("all", maxTunnels),
                        new Bound(pool, pool.maxTunnels()),
                        new Bound("route " + bounds.route(), bounds.maxOpen()),
                        new Bound("route " + bounds.route() + " tenant " + tenant, bounds.maxOpenPerTenant())),
                now,
                bounds.evictMicros());
        decision.evicted().forEach(this::close);
        return new Permit(
                decision.slot(),
                decision.slot() != null ? 0 : 1 + random.nextLong(Math.max(1_000_000, bounds.evictMicros())));
    }

    /** Whether a tunnel may move now. A move opens no additional tunnel, so only the servers' rate limit applies. */
    public boolean mayMove(Pool pool) {
        refreshAdmission(pool, clock.getAsLong());
        return poolState(pool).admission.admit(clock.getAsLong(), pool.warmServers(), random) < 0;
    }

    /** Records that a handshake is sent to a server. */
    public void handshakeSent(Host host) {
        PoolState poolState = poolState(host.pool());
        long now = clock.getAsLong();
        poolState.admission.handshakeSent(now, host, host.startMicros());
        reportLoad(poolState, host, now);
        scheduleSweep();
    }

    /** Adds a tunnel that is open; the mover is null if the tunnel can't move to another server. */
    public void add(Tunnel tunnel, WebSocketLimits limits, Permit permit, Host host, Mover mover) {
        openTunnels.put(tunnel, new OpenTunnel(limits, permit, host, mover));
        permit.slot.setTunnel(tunnel);
        attach(tunnel, host, tunnel.updateWeight(clock.getAsLong()));
        scheduleSweep();
    }

    private void attach(Tunnel tunnel, Host host, double weight) {
        OpenTunnel openTunnel = openTunnels.get(tunnel);
        PoolState poolState = poolState(host.pool());
        openTunnel.host = host;
        openTunnel.weight = 0;
        poolState.admission.opened(clock.getAsLong(), host, host.startMicros());
        setWeight(openTunnel, weight);
        reportLoad(poolState, host, clock.getAsLong());
    }

    private void detach(OpenTunnel openTunnel) {
        PoolState poolState = poolState(openTunnel.host.pool());
        poolState.admission.ended(openTunnel.host);
        setWeight(openTunnel, 0);
        reportLoad(poolState, openTunnel.host, clock.getAsLong());
        if (poolState.admission.open(openTunnel.host) == 0) {
            poolState.tunnelWeights.remove(openTunnel.host);
        }
    }

    /** Removes a tunnel that has ended. */
    public void remove(Tunnel tunnel) {
        OpenTunnel openTunnel = openTunnels.remove(tunnel);
        if (openTunnel != null) {
            detach(openTunnel);
            openTunnel.permit.release();
            drainOrders.values().forEach(order -> order.remove(tunnel));
        }
    }

    private PoolState poolState(Pool pool) {
        return poolStates.computeIfAbsent(pool, p -> new PoolState(p.rule()));
    }

    private void setWeight(OpenTunnel openTunnel, double weight) {
        PoolState poolState = poolState(openTunnel.host.pool());
        poolState.tunnelWeights.merge(openTunnel.host, weight - openTunnel.weight, Double::sum);
        openTunnel.weight = weight;
    }

    private void reportLoad(PoolState poolState, Host host, long now) {
        host.setTunnelLoad(
                Math.max(0, poolState.tunnelWeights.getOrDefault(host, 0.0)) * poolState.weightFit.factor(),
                poolState.admission.isFull(now, host));
    }

    private void refreshAdmission(Pool pool, long now) {
        PoolState poolState = poolState(pool);
        // The operators may have changed the rule.
        poolState.admission.setRule(pool.rule());
        poolState.admission.freed(now).forEach(host -> reportLoad(poolState, host, now));
    }

    // ---- Periodic sweep

    private void scheduleSweep() {
        if (!sweepScheduled) {
            sweepScheduled = true;
            loop.schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        long now = clock.getAsLong();
        List.copyOf(openTunnels.keySet()).forEach(tunnel -> tunnel.checkTimeouts(now));
        drainOrders.forEach((group, order) ->
                order.due(now, group.pool().warmServers()).forEach(tunnel -> drainTunnel(tunnel, now)));
        drainOrders
                .entrySet()
                .removeIf(e -> e.getValue().size() == 0
                        && openTunnels.values().stream()
                                .noneMatch(m -> m.pendingDrain != null
                                        && m.pendingDrain.group().equals(e.getKey())));
        poolStates.keySet().forEach(pool -> refreshAdmission(pool, now));
        if (now - weightsUpdatedAt >= WEIGHT_UPDATE_MICROS) {
            weightsUpdatedAt = now;
            openTunnels.forEach((tunnel, openTunnel) -> setWeight(openTunnel, tunnel.updateWeight(now)));
            poolStates.values().forEach(poolState -> updateWeightFit(poolState, now));
        }
        sweepScheduled = !openTunnels.isEmpty() || poolStates.values().stream().anyMatch(f -> f.admission.anyFull());
        if (sweepScheduled) {
            loop.schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Takes one sample for each server, however many tunnels it has. */
    private void updateWeightFit(PoolState poolState, long now) {
        poolState.tunnelWeights.forEach((host, weight) -> {
            if (host.loadReportedAt() != 0
                    && now - host.loadReportedAt() < MAX_LOAD_REPORT_AGE_MICROS
                    && !Double.isNaN(host.utilization())) {
                poolState.weightFit.sample(host.utilization(), host.requestsInFlight(), weight);
            }
        });
        poolState.tunnelWeights.keySet().forEach(host -> reportLoad(poolState, host, now));
        poolState.admission.forgetIdle(now);
    }

    // ---- Drain and move

    /**
     * Closes all open tunnels, spread over the given time, with the close notice of their route. Tunnels within a
     * message come last; otherwise the longest idle come first.
     */
    public void goAway(long spreadMicros) {
        List<Tunnel> ordered = new ArrayList<>(openTunnels.keySet());
        ordered.sort(Comparator.comparing(Tunnel::inMessage).thenComparingLong(Tunnel::lastDataAt));
        for (int i = 0; i < ordered.size(); i++) {
            Tunnel tunnel = ordered.get(i);
            loop.schedule(() -> close(tunnel), spreadMicros * (i + 1) / ordered.size(), TimeUnit.MICROSECONDS);
        }
    }

    private void close(Tunnel tunnel) {
        tunnel.goAway(clock.getAsLong());
    }

    /** Queues a tunnel to be closed or moved, because its server has been draining since the given time. */
    public void serverDraining(Tunnel tunnel, Host host, long drainStartedAt) {
        OpenTunnel openTunnel = openTunnels.get(tunnel);
        if (openTunnel != null && openTunnel.host.equals(host)) {
            openTunnel.pendingDrain = new PendingDrain(new DrainGroup(host.pool(), openTunnel.limits), drainStartedAt);
            enqueueDrain(tunnel, openTunnel.pendingDrain);
        }
    }

    private void enqueueDrain(Tunnel tunnel, PendingDrain pendingDrain) {
        WebSocketLimits limits = pendingDrain.group().limits();
        drainOrders
                .computeIfAbsent(
                        pendingDrain.group(),
                        d -> new DrainOrder<>(limits.drainTimeoutMicros(), limits.reconnectsPerSecond()))
                .add(tunnel, pendingDrain.startedAt());
    }

    /** Cancels the drain of a tunnel, because its server stays in service. */
    public void drainCancelled(Tunnel tunnel, Host host) {
        OpenTunnel openTunnel = openTunnels.get(tunnel);
        if (openTunnel != null && openTunnel.host.equals(host)) {
            openTunnel.pendingDrain = null;
            drainOrders.values().forEach(order -> order.remove(tunnel));
        }
    }

    private void drainTunnel(Tunnel tunnel, long now) {
        OpenTunnel openTunnel = openTunnels.get(tunnel);
        boolean deadlinePassed = now - openTunnel.pendingDrain.startedAt() >= openTunnel.limits.drainTimeoutMicros();
        if (openTunnel.mover == null || deadlinePassed || !tunnel.canMove()) {
            close(tunnel);
        } else {
            tunnel.beginMove();
            openTunnel.mover.move();
        }
    }

    /** No other server accepted the tunnel: it is queued again until the drain deadline. */
    public void moveRefused(Tunnel tunnel) {
        tunnel.moveRefused();
        OpenTunnel openTunnel = openTunnels.get(tunnel);
        if (openTunnel != null && openTunnel.pendingDrain != null) {
            enqueueDrain(tunnel, openTunnel.pendingDrain);
        }
    }

    /** Another server accepted the handshake; the tunnel takes ownership of the connection. */
    public void moveTo(Tunnel tunnel, Host host, Channel channel, ByteBuf early, Tunnel.MoveCallback callback) {
        tunnel.moveTo(channel, early, moved -> {
            OpenTunnel openTunnel = openTunnels.get(tunnel);
            if (moved && openTunnel != null) {
                double weight = openTunnel.weight;
                detach(openTunnel);
                openTunnel.pendingDrain = null;
                attach(tunnel, host, weight);
            }
            callback.completed(moved);
        });
    }
}
