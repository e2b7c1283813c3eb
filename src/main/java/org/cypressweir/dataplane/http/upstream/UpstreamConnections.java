package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The connections to the server: as few as possible, the one used last is reused first, and none is reused that has
 * been idle for too long. For the event loop only; times are in microseconds.
 */
final class UpstreamConnections {
    /** Connections of those that the server accepts that are left to others. */
    private static final int RESERVED_CONNECTIONS = 4;

    /** After so many failures to connect in a row no connection is tried for a while. */
    private static final int MAX_FAILURES = 3;

    private static final long FAILURE_PAUSE_MICROS = 200_000;

    private final EventLoop loop;
    private final InetSocketAddress server;
    private final UpstreamOptions options;
    private final UpstreamConnection.Listener listener;
    /** The one used last is the last. */
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    /** Those with a request, sent or not yet. */
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

    /** Sets how many connections the server accepts in all. */
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

    /** Whether a request is on an established connection, which its end will make available. */
    boolean hasEstablishedBusy() {
        return busy.stream().anyMatch(connection -> !connection.isConnecting());
    }

    boolean mayOpen() {
        return open.size() < limit();
    }

    /** Whether the server was found not to accept connections, so that none is tried for now. */
    boolean isFailing(long now) {
        return now < failingUntil;
    }

    long failingUntil() {
        return failingUntil;
    }

    /**
     * Takes an idle connection that is clean, not too old and has not been idle for longer than a time; null if
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

    /** Closes the one that has been idle longest, to make room for a new one, if no other is closing already. */
    void closeOldestIdle() {
        if (!idle.isEmpty() && open.stream().noneMatch(c -> c.isRetired() && !busy.contains(c))) {
            idle.pollFirst().close();
        }
    }

    /** Adds a connection to the idle ones, or closes it where it is of no use. */
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

    /** A connection has no request any more. */
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

    /** None of the present connections takes a further request; busy ones end with the request on them. */
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
