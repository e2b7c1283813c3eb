package org.cypressweir.sidecar.websocket;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides in which order, and how fast, the tunnels of draining servers are closed. Tunnels between two messages are
 * closed first, the longest idle before the others, at the rate at which the other servers can accept reconnects. At
 * the drain deadline all the remaining tunnels between messages are closed, and a tunnel within a message as soon as
 * the message ends. Reads no clock: callers pass the time, in microseconds.
 */
public final class DrainOrder<T extends DrainOrder.Drainable> {

    /** A tunnel that can be drained. */
    public interface Drainable {
        /** Whether either side is within a message. */
        boolean inMessage();

        /** Time of the last data frame, in microseconds. */
        long lastDataAt();
    }

    /** A tunnel still within a message this long after the drain deadline is closed anyway. */
    static final long MAX_MESSAGE_WAIT_MICROS = 5_000_000;

    private final long drainMicros;
    private final double reconnectsPerSecond;
    private final Map<T, Long> pending = new LinkedHashMap<>();
    private double allowance;
    private long updatedAt;

    /**
     * Creates the order for the servers of one pool.
     *
     * @param drainMicros time from the start of a server's drain to its deadline
     * @param reconnectsPerSecond tunnels per second that each of the other servers can accept
     */
    public DrainOrder(long drainMicros, double reconnectsPerSecond) {
        this.drainMicros = drainMicros;
        this.reconnectsPerSecond = reconnectsPerSecond;
    }

    /** Adds a tunnel whose server has been draining since the given time. */
    public void add(T tunnel, long drainStartedAt) {
        pending.putIfAbsent(tunnel, drainStartedAt);
    }

    /** Removes a tunnel that has ended or whose server's drain was cancelled. */
    public void remove(T tunnel) {
        pending.remove(tunnel);
    }

    /** How many tunnels wait to be closed. */
    public int size() {
        return pending.size();
    }

    /**
     * Returns the tunnels to close now, in order. Without other servers, clients could not reconnect, so none is closed
     * before the deadline.
     */
    public List<T> due(long now, double otherServers) {
        double newAllowance = reconnectsPerSecond * otherServers * (now - updatedAt) / 1e6;
        // Unused allowance is not saved up beyond the next tunnel.
        allowance = updatedAt == 0 ? 1 : Math.min(Math.max(1, newAllowance), allowance + newAllowance);
        updatedAt = now;
        List<T> due = new ArrayList<>();
        List<T> candidates = new ArrayList<>();
        pending.forEach((tunnel, drainStartedAt) -> {
            long overdueMicros = now - drainStartedAt - drainMicros;
            if (overdueMicros >= 0 && (!tunnel.inMessage() || overdueMicros >= MAX_MESSAGE_WAIT_MICROS)) {
                due.add(tunnel);
            } else if (!tunnel.inMessage()) {
                candidates.add(tunnel);
            }
        });
        // Ascending by the time of the last data: the longest idle first.
        candidates.sort(Comparator.comparingLong(Drainable::lastDataAt));
        for (T tunnel : candidates) {
            if (allowance < 1 || otherServers <= 0) {
                break;
            }
            allowance--;
            due.add(tunnel);
        }
        due.forEach(pending::remove);
        return due;
    }
}
