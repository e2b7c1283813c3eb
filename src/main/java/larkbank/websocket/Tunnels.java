package larkbank.websocket;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import larkbank.route.WebSocketLimits;

/**
 * The open tunnels of a process: one look at all of them in place of timers for each, what they weigh for
 * their
 * servers, and an orderly end.
 */
public final class Tunnels {

    private static final long SWEEP_MILLIS = 50;
    private static final long WEIGH_MICROS = 1_000_000;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Map<Tunnel, Host> open = new LinkedHashMap<>();
    /** What each was last told to weigh. */
    private final Map<Tunnel, Double> weights = new HashMap<>();
    private final Map<Drain, DrainOrder<Tunnel>> drains = new LinkedHashMap<>();
    private boolean sweeping;
    private long weighedAt;

    /** The servers that a tunnel's server is one of; equal for all of them. */
    public interface Pool {
        /** Servers that new requests may go to. */
        int readyServers();
    }

    /** The server of a tunnel. */
    public interface Host {
        Pool pool();

        /** What its tunnels weigh changes by so much, in requests in flight. */
        void weighs(double change);
    }

    private record Drain(Pool pool, WebSocketLimits limits) { }

    /** On one loop, with a clock in microseconds. */
    public Tunnels(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
    }

    public void add(Tunnel tunnel, Host host) {
        open.put(tunnel, host);
        weigh(tunnel, host, Tunnel.OPEN_WEIGHT);
        if (!sweeping) {
            sweeping = true;
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    public void remove(Tunnel tunnel) {
        Host host = open.remove(tunnel);
        if (host != null) {
            weigh(tunnel, host, 0);
            weights.remove(tunnel);
            stays(tunnel);
        }
    }

    private void weigh(Tunnel tunnel, Host host, double weight) {
        double before = weights.getOrDefault(tunnel, 0.0);
        weights.put(tunnel, weight);
        if (weight != before) {
            host.weighs(weight - before);
        }
    }

    private void sweep() {
        long now = clock.getAsLong();
        List.copyOf(open.keySet()).forEach(tunnel -> tunnel.check(now));
        drains.forEach((drain, order) -> order.due(now, drain.pool().readyServers()).forEach(this::close));
        drains.values().removeIf(order -> order.size() == 0);
        if (now - weighedAt >= WEIGH_MICROS) {
            weighedAt = now;
            open.forEach((tunnel, host) -> weigh(tunnel, host, tunnel.weigh(now)));
        }
        sweeping = !open.isEmpty();
        if (sweeping) {
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes all that are open with 1001 over a time, those first that have been without data for the
     * longest.
     */
    public void goAway(long spreadMicros) {
        List<Tunnel> ordered = new ArrayList<>(open.keySet());
        ordered.sort(Comparator.comparing(Tunnel::inMessage).thenComparingLong(Tunnel::dataAt));
        for (int i = 0; i < ordered.size(); i++) {
            Tunnel tunnel = ordered.get(i);
            loop.schedule(() -> close(tunnel), spreadMicros * (i + 1) / ordered.size(),
                    TimeUnit.MICROSECONDS);
        }
    }

    private void close(Tunnel tunnel) {
        tunnel.close(Frames.GOING_AWAY, "going away", clock.getAsLong());
    }

    /** The server of a tunnel leaves, and was told to then: the tunnel is closed in the order of its pool. */
    public void leaves(Tunnel tunnel, WebSocketLimits limits, long toldAt) {
        Host host = open.get(tunnel);
        if (host != null) {
            drains.computeIfAbsent(new Drain(host.pool(), limits), d -> new DrainOrder<>(limits.drainMicros(),
                    limits.reconnects())).leaves(tunnel, toldAt);
        }
    }

    /** Its server stays after all, or the tunnel has ended. */
    public void stays(Tunnel tunnel) {
        drains.values().forEach(order -> order.stays(tunnel));
    }
}
