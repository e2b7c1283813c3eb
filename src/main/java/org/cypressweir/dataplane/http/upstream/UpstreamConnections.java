package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The pool of connections to the server. It keeps few connections: the one used last is reused first, and none is
 * reused that has been idle for too long. For the event loop only; times are in microseconds.
 */
final class UpstreamConnections {
    /** How many of the connections that the server accepts are left to other clients. */
    private static final int RESERVED_CONNECTIONS = 4;

    /** After this many consecutive failures to connect, no connection is tried for {@link #FAILURE_PAUSE_MICROS}. */
    private static final int MAX_FAILURES = 3;

    private static final long FAILURE_PAUSE_MICROS = 200_000;

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final UpstreamOptions options;
    private final UpstreamConnection.Listener listener;
    /** In the order of use; the most recently used one is the last. */
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Connections with a request, whether it is sent yet or not. */
    private final Set<UpstreamConnection> busy = new LinkedHashSet<>();

    private final Set<UpstreamConnection> open = new LinkedHashSet<>();
    private int maxConnections;
    private int failures;
    private long failingUntil = Long.MIN_VALUE;

    UpstreamConnections(
            EventLoop loop, InetSocketAddress server, UpstreamOptions options, UpstreamConnection.Listener listener) {
        this.loop = loop;
        this.server = server;
        this.options = options;
        this.listener = listener;
        maxConnections = options.maxConnections();
    }

    /** Sets the total number of connections that the server accepts. */
    void maxConnections(int max) {
        maxConnections = max;
        while (open.size() - closingCount() > limit() && !idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    private long closingCount() {
        return open.stream().filter(UpstreamConnection::isRetired).count();
    }

    private int limit() {
        return Math.max(1, maxConnections - RESERVED_CONNECTIONS);
    }

    List<UpstreamConnection> busy() {
        return List.copyOf(busy);
    }

    int openCount() {
        return open.size();
    }

    /** Whether an established connection is busy and thus becomes available when its request ends. */
    boolean hasEstablishedBusy() {
        return busy.stream().anyMatch(connection -> !connection.isConnecting());
    }

    boolean mayOpen() {
        return open.size() < limit();
    }

    /** Whether connecting has failed repeatedly, so that no connection is tried for now. */
    boolean isFailing(long now) {
        return now < failingUntil;
    }

    long failingUntil() {
        return failingUntil;
    }

    /**
     * Takes an idle connection that is still reusable and has not been idle for longer than {@code maxIdle}; null if
     * there is none. The caller uses it or adds it again.
     */
    UpstreamConnection pollIdle(long now, long maxIdle) {
        while (!idle.isEmpty() && now - idle.peekLast().idleSince <= maxIdle) {
            UpstreamConnection last = idle.pollLast();
            if (now < last.idleUntil && last.checkReusable()) {
                return last;
            }
            last.close();
        }
        return null;
    }

    /** Closes the connection that has been idle longest, so that a new one can be opened, unless another is closing. */
    void closeOldestIdle() {
        if (!idle.isEmpty() && open.stream().noneMatch(c -> c.isRetired() && !busy.contains(c))) {
            idle.pollFirst().close();
        }
    }

    /** Adds a connection to the idle ones, or closes it if it cannot be reused or exceeds the limit. */
    void addIdle(UpstreamConnection connection, long now, long idleUntil) {
        busy.remove(connection);
        connection.idleSince = now;
        connection.idleUntil = idleUntil;
        if (connection.isRetired() || open.size() > limit()) {
            connection.close();
        } else {
            idle.addLast(connection);
        }
    }

    void onConnected() {
        failures = 0;
        failingUntil = Long.MIN_VALUE;
    }

    /** Opens a connection for a request. */
    void connect(InFlightRequest request) {
        UpstreamConnection connection = new UpstreamConnection(loop, server, options, listener);
        open.add(connection);
        busy.add(connection);
        connection.reserve(request);
    }

    void send(UpstreamConnection connection, InFlightRequest request, long now) {
        busy.add(connection);
        connection.send(request, now);
    }

    /** Records that a connection has no request any more. */
    void removeBusy(UpstreamConnection connection) {
        busy.remove(connection);
    }

    void onClosed(UpstreamConnection connection, boolean wasConnected, long now) {
        busy.remove(connection);
        idle.remove(connection);
        open.remove(connection);
        if (!wasConnected && ++failures >= MAX_FAILURES) {
            failingUntil = now + FAILURE_PAUSE_MICROS;
        }
    }

    /** Retires all current connections: idle ones are closed, busy ones when their request has ended. */
    void retireAll() {
        onConnected();
        open.forEach(UpstreamConnection::retire);
        while (!idle.isEmpty()) {
            idle.pollFirst().close();
        }
    }

    /** Closes the connections that have been idle for too long. */
    void closeExpired(long now) {
        for (UpstreamConnection connection : List.copyOf(idle)) {
            if (now >= connection.idleUntil) {
                idle.remove(connection);
                connection.close();
            }
        }
    }

    /** When {@link #closeExpired} is to be called next. */
    long nextExpiry() {
        return idle.stream().mapToLong(c -> c.idleUntil).min().orElse(Long.MAX_VALUE);
    }
}
