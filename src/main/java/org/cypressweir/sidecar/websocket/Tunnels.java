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
 * The open tunnels of a process: one look at all of them in place of timers for each, how many there may be,
 * what they weigh for their servers, and an orderly end or move.
 */
public final class Tunnels {

    private static final long SWEEP_MILLIS = 50;
    private static final long WEIGH_MICROS = 1_000_000;
    /** What a server says of itself is of use for so long. */
    private static final long FRESH_MICROS = 2 * WEIGH_MICROS;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private final Map<Tunnel, Member> open = new LinkedHashMap<>();
    private final Map<Pool, Fleet> fleets = new HashMap<>();
    private final OpenTunnelLimits<Tunnel> census = new OpenTunnelLimits<>();
    private final Map<Drain, DrainOrder<Tunnel>> drains = new LinkedHashMap<>();
    private boolean sweeping;
    private long weighedAt;

    /** The servers that a tunnel's server is one of; equal for all of them. */
    public interface Pool {
        /** Servers that new requests may go to, each counted by the part of a warm one that it can take. */
        double warmServers();

        /** Tunnels to all of them, at most. */
        int most();

        TunnelAdmission.Rule rule();
    }

    /** The server of a tunnel; equal for all of its tunnels. */
    public interface Host {
        Pool pool();

        /** When it was started, in microseconds of the clock; 0 for long ago. */
        long startMicros();

        /** What its tunnels weigh, in requests in flight, and whether it takes no further one now. */
        void carries(double weight, boolean full);

        /** When it last told its use; 0 for never. */
        long toldAt();

        /** Its own word on its use, in 0 to 1. */
        double use();

        /** Requests in flight there, as it told or as this process knows. */
        double requests();
    }

    /** Asks for another server for a tunnel; {@link #moveTo} or {@link #notMoved} follows. */
    public interface Mover {
        void move();
    }

    /** One that has been let in and counts, from its handshake to its end. */
    public static final class Ticket {
        private final OpenTunnelLimits<Tunnel>.Place place;
        private final long retryMicros;

        private Ticket(OpenTunnelLimits<Tunnel>.Place place, long retryMicros) {
            this.place = place;
            this.retryMicros = retryMicros;
        }

        /** Whether it may go on. */
        public boolean isIn() {
            return place != null;
        }

        /** When its client should come back, in microseconds from now, where it may not go on. */
        public long retryMicros() {
            return retryMicros;
        }

        /** It came to nothing. */
        public void leave() {
            if (place != null) {
                place.leave();
            }
        }
    }

    private record Drain(Pool pool, WebSocketLimits limits) {}

    private record Leaving(Drain drain, long toldAt) {}

    private static final class Member {
        private final WebSocketLimits limits;
        private final Ticket ticket;
        private final Mover mover;
        private Host host;
        private double weight;
        private Leaving leaving;

        private Member(WebSocketLimits limits, Ticket ticket, Host host, Mover mover) {
            this.limits = limits;
            this.ticket = ticket;
            this.host = host;
            this.mover = mover;
        }
    }

    private static final class Fleet {
        private final TunnelAdmission<Host> intake;
        private final WeightFit fit = new WeightFit();
        /** What the tunnels of each server weigh. */
        private final Map<Host, Double> carried = new HashMap<>();

        private Fleet(TunnelAdmission.Rule rule) {
            intake = new TunnelAdmission<>(rule);
        }
    }

    /** On one loop, with a clock in microseconds. */
    public Tunnels(EventLoop loop, LongSupplier clock, SplittableRandom random) {
        this.loop = loop;
        this.clock = clock;
        this.random = random;
    }

    // ---- Coming

    /** Asks for one more tunnel of a route and tenant; one that is idle may have to go for it. */
    public Ticket ask(Pool pool, int tenant, WebSocketLimits limits, int most) {
        long now = clock.getAsLong();
        TunnelBounds bounds = limits.bounds();
        TunnelAdmission<Host> intake = fleet(pool).intake;
        free(pool, now);
        long retry = intake.ask(now, pool.warmServers(), random);
        if (retry >= 0) {
            return new Ticket(null, retry);
        }
        OpenTunnelLimits.Entry<Tunnel> entry = census.enter(
                List.of(
                        new Bound("all", most),
                        new Bound(pool, pool.most()),
                        new Bound("route " + bounds.route(), bounds.most()),
                        new Bound("route " + bounds.route() + " tenant " + tenant, bounds.perTenant())),
                now,
                bounds.evictMicros());
        entry.evicted().forEach(this::close);
        return new Ticket(
                entry.place(),
                entry.place() != null ? 0 : 1 + random.nextLong(Math.max(1_000_000, bounds.evictMicros())));
    }

    /** A move needs no room but at the other server. */
    public boolean mayMove(Pool pool) {
        free(pool, clock.getAsLong());
        return fleet(pool).intake.ask(clock.getAsLong(), pool.warmServers(), random) < 0;
    }

    /** A handshake goes out to a server. */
    public void tried(Host host) {
        Fleet fleet = fleet(host.pool());
        long now = clock.getAsLong();
        fleet.intake.tried(now, host, host.startMicros());
        tell(fleet, host, now);
        wake();
    }

    /** A tunnel is open; the mover is null where it can't go on at another server. */
    public void add(Tunnel tunnel, WebSocketLimits limits, Ticket ticket, Host host, Mover mover) {
        open.put(tunnel, new Member(limits, ticket, host, mover));
        ticket.place.holds(tunnel);
        arrive(tunnel, host, tunnel.weigh(clock.getAsLong()));
        wake();
    }

    private void arrive(Tunnel tunnel, Host host, double weight) {
        Member member = open.get(tunnel);
        Fleet fleet = fleet(host.pool());
        member.host = host;
        member.weight = 0;
        fleet.intake.opened(clock.getAsLong(), host, host.startMicros());
        weigh(member, weight);
        tell(fleet, host, clock.getAsLong());
    }

    private void depart(Member member) {
        Fleet fleet = fleet(member.host.pool());
        fleet.intake.ended(member.host);
        weigh(member, 0);
        tell(fleet, member.host, clock.getAsLong());
        if (fleet.intake.open(member.host) == 0) {
            fleet.carried.remove(member.host);
        }
    }

    /** It has ended. */
    public void remove(Tunnel tunnel) {
        Member member = open.remove(tunnel);
        if (member != null) {
            depart(member);
            member.ticket.leave();
            drains.values().forEach(order -> order.stays(tunnel));
        }
    }

    private Fleet fleet(Pool pool) {
        return fleets.computeIfAbsent(pool, p -> new Fleet(p.rule()));
    }

    private void weigh(Member member, double weight) {
        Fleet fleet = fleet(member.host.pool());
        fleet.carried.merge(member.host, weight - member.weight, Double::sum);
        member.weight = weight;
    }

    private void tell(Fleet fleet, Host host, long now) {
        host.carries(
                Math.max(0, fleet.carried.getOrDefault(host, 0.0)) * fleet.fit.factor(),
                fleet.intake.isFull(now, host));
    }

    private void free(Pool pool, long now) {
        Fleet fleet = fleet(pool);
        // Operators may have set another one.
        fleet.intake.rule(pool.rule());
        fleet.intake.freed(now).forEach(host -> tell(fleet, host, now));
    }

    // ---- Time

    private void wake() {
        if (!sweeping) {
            sweeping = true;
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void sweep() {
        long now = clock.getAsLong();
        List.copyOf(open.keySet()).forEach(tunnel -> tunnel.check(now));
        drains.forEach(
                (drain, order) -> order.due(now, drain.pool().warmServers()).forEach(tunnel -> leave(tunnel, now)));
        drains.entrySet()
                .removeIf(e -> e.getValue().size() == 0
                        && open.values().stream()
                                .noneMatch(m ->
                                        m.leaving != null && m.leaving.drain().equals(e.getKey())));
        fleets.keySet().forEach(pool -> free(pool, now));
        if (now - weighedAt >= WEIGH_MICROS) {
            weighedAt = now;
            open.forEach((tunnel, member) -> weigh(member, tunnel.weigh(now)));
            fleets.values().forEach(fleet -> learn(fleet, now));
        }
        sweeping = !open.isEmpty() || fleets.values().stream().anyMatch(f -> f.intake.anyFull());
        if (sweeping) {
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Once for each server, however many tunnels it has. */
    private void learn(Fleet fleet, long now) {
        fleet.carried.forEach((host, weight) -> {
            if (host.toldAt() != 0 && now - host.toldAt() < FRESH_MICROS && !Double.isNaN(host.use())) {
                fleet.fit.sample(host.use(), host.requests(), weight);
            }
        });
        fleet.carried.keySet().forEach(host -> tell(fleet, host, now));
        fleet.intake.forget(now);
    }

    // ---- Going

    /**
     * Closes all that are open with 1001 over a time, those first that have been without data for the
     * longest.
     */
    public void goAway(long spreadMicros) {
        List<Tunnel> ordered = new ArrayList<>(open.keySet());
        ordered.sort(Comparator.comparing(Tunnel::inMessage).thenComparingLong(Tunnel::dataAt));
        for (int i = 0; i < ordered.size(); i++) {
            Tunnel tunnel = ordered.get(i);
            loop.schedule(() -> close(tunnel), spreadMicros * (i + 1) / ordered.size(), TimeUnit.MICROSECONDS);
        }
    }

    private void close(Tunnel tunnel) {
        tunnel.goAway(clock.getAsLong());
    }

    /** The server of a tunnel leaves, and was told to then: it goes in the order of its pool. */
    public void leaves(Tunnel tunnel, Host host, long toldAt) {
        Member member = open.get(tunnel);
        if (member != null && member.host.equals(host)) {
            member.leaving = new Leaving(new Drain(host.pool(), member.limits), toldAt);
            queue(tunnel, member.leaving);
        }
    }

    private void queue(Tunnel tunnel, Leaving leaving) {
        WebSocketLimits limits = leaving.drain().limits();
        drains.computeIfAbsent(leaving.drain(), d -> new DrainOrder<>(limits.drainMicros(), limits.reconnects()))
                .leaves(tunnel, leaving.toldAt());
    }

    /** Its server stays after all. */
    public void stays(Tunnel tunnel, Host host) {
        Member member = open.get(tunnel);
        if (member != null && member.host.equals(host)) {
            member.leaving = null;
            drains.values().forEach(order -> order.stays(tunnel));
        }
    }

    private void leave(Tunnel tunnel, long now) {
        Member member = open.get(tunnel);
        boolean last = now - member.leaving.toldAt() >= member.limits.drainMicros();
        if (member.mover == null || last || !tunnel.canMove()) {
            close(tunnel);
        } else {
            tunnel.moving();
            member.mover.move();
        }
    }

    /** No other server takes it: it waits for its turn again, up to the last moment. */
    public void notMoved(Tunnel tunnel) {
        tunnel.notMoved();
        Member member = open.get(tunnel);
        if (member != null && member.leaving != null) {
            queue(tunnel, member.leaving);
        }
    }

    /** Another server has agreed; the connection is taken over. */
    public void moveTo(Tunnel tunnel, Host host, Channel channel, ByteBuf early, Tunnel.Moved moved) {
        tunnel.moveTo(channel, early, done -> {
            Member member = open.get(tunnel);
            if (done && member != null) {
                double weight = member.weight;
                depart(member);
                member.leaving = null;
                arrive(tunnel, host, weight);
            }
            moved.over(done);
        });
    }
}
