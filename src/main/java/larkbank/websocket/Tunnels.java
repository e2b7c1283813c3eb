package larkbank.websocket;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The open tunnels of a process: one look at all of them in place of timers for each, and an orderly end. */
public final class Tunnels {

    private static final long SWEEP_MILLIS = 100;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final Set<Tunnel> open = new LinkedHashSet<>();
    private boolean sweeping;

    /** On one loop, with a clock in microseconds. */
    public Tunnels(EventLoop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
    }

    /** How many have not ended. */
    public int size() {
        return open.size();
    }

    public void add(Tunnel tunnel) {
        open.add(tunnel);
        if (!sweeping) {
            sweeping = true;
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    public void remove(Tunnel tunnel) {
        open.remove(tunnel);
    }

    private void sweep() {
        long now = clock.getAsLong();
        List.copyOf(open).forEach(tunnel -> tunnel.check(now));
        sweeping = !open.isEmpty();
        if (sweeping) {
            loop.schedule(this::sweep, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes all that are open with 1001, one after the other over a time: their clients come back
     * elsewhere.
     */
    public void goAway(long spreadMicros) {
        goAway(loop, clock, List.copyOf(open), spreadMicros);
    }

    /** Closes these with 1001 over a time, those first that have been without data for the longest. */
    public static void goAway(EventLoop loop, LongSupplier clock, List<Tunnel> tunnels, long spreadMicros) {
        List<Tunnel> ordered = tunnels.stream().sorted((a, b) -> a.inMessage() != b.inMessage()
                ? Boolean.compare(a.inMessage(), b.inMessage()) : Long.compare(a.dataAt(),
                        b.dataAt())).toList();
        for (int i = 0; i < ordered.size(); i++) {
            Tunnel tunnel = ordered.get(i);
            loop.schedule(() -> tunnel.close(Frames.GOING_AWAY, "going away", clock.getAsLong()),
                    spreadMicros * (i + 1) / ordered.size(), TimeUnit.MICROSECONDS);
        }
    }
}
