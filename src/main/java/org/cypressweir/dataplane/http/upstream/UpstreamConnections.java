package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The connections to the server: as few as will do, the one used last first, none that is too old. */
final class UpstreamConnections {
    /** What the server accepts beyond what is used here. */
    private static final int SPARE = 4;

    private static final int FAILURES = 3;
    private static final long FAILING_MICROS = 200_000;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final UpstreamOptions plan;
    private final UpstreamConnection.Owner owner;
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Those that hold a request, sent or not yet. */
    private final Set<UpstreamConnection> busy = new LinkedHashSet<>();

    private final Set<UpstreamConnection> open = new LinkedHashSet<>();
    private int maxConnections;
    private int failures;
    private long failingUntil = Long.MIN_VALUE;

    UpstreamConnections(EventLoop loop, InetSocketAddress to, UpstreamOptions plan, UpstreamConnection.Owner owner) {
        this.loop = loop;
        this.to = to;
        this.plan = plan;
        this.owner = owner;
        maxConnections = plan.maxConnections();
    }

    void maxConnections(int most) {
        maxConnections = most;
        while (open.size() - closing() > bound() && !idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    private long closing() {
        return open.stream().filter(UpstreamConnection::isDone).count();
    }

    private int bound() {
        return Math.max(1, maxConnections - SPARE);
    }

    List<UpstreamConnection> busy() {
        return List.copyOf(busy);
    }

    int open() {
        return open.size();
    }

    /** Whether a request on its way could set a connection free, so that there is something to wait for. */
    boolean someUp() {
        return busy.stream().anyMatch(b -> !b.isConnecting());
    }

    boolean room() {
        return open.size() < bound();
    }

    boolean failing(long now) {
        return now < failingUntil;
    }

    long failingUntil() {
        return failingUntil;
    }

    /**
     * An idle one that is clean, not too old and not idle for longer than so, null for none. It is to be used
     * or put back.
     */
    UpstreamConnection pollIdle(long now, long longest) {
        while (!idle.isEmpty() && now - idle.peekLast().idleSince <= longest) {
            UpstreamConnection last = idle.pollLast();
            if (now < last.idleUntil && last.usable()) {
                return last;
            }
            last.close();
        }
        return null;
    }

    /** Ends the one that has been idle longest, to make room for a new one, if no other ends already. */
    void closeOldest() {
        if (!idle.isEmpty() && open.stream().noneMatch(b -> b.isDone() && !busy.contains(b))) {
            idle.pollFirst().close();
        }
    }

    void rest(UpstreamConnection berth, long now, long until) {
        busy.remove(berth);
        berth.idleSince = now;
        berth.idleUntil = until;
        if (berth.isDone() || open.size() > bound()) {
            berth.close();
        } else {
            idle.addLast(berth);
        }
    }

    void opened() {
        failures = 0;
        failingUntil = Long.MIN_VALUE;
    }

    void connect(InFlightRequest shipment) {
        UpstreamConnection berth = new UpstreamConnection(loop, to, plan, owner);
        open.add(berth);
        busy.add(berth);
        berth.reserve(shipment);
    }

    void send(UpstreamConnection berth, InFlightRequest shipment, long now) {
        busy.add(berth);
        berth.send(shipment, now);
    }

    void free(UpstreamConnection berth) {
        busy.remove(berth);
    }

    void down(UpstreamConnection berth, boolean wasUp, long now) {
        busy.remove(berth);
        idle.remove(berth);
        open.remove(berth);
        if (!wasUp && ++failures >= FAILURES) {
            failingUntil = now + FAILING_MICROS;
        }
    }

    /** None of the present ones takes a further request; those in use end with what they carry. */
    void retire() {
        opened();
        open.forEach(UpstreamConnection::retire);
        closeIdle();
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    void closeOld(long now) {
        List.copyOf(idle).forEach(b -> {
            if (now >= b.idleUntil) {
                idle.remove(b);
                b.close();
            }
        });
    }

    long nextOld() {
        return idle.stream().mapToLong(b -> b.idleUntil).min().orElse(Long.MAX_VALUE);
    }
}
