package org.cypressweir.sidecar;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The idle connections of a pool, by server and by age. Finding the oldest one takes the same time in a fleet of any
 * size.
 *
 * <p>Confined to the event loop.
 */
final class IdleConnections {

    private final Set<PooledConnection> oldestFirst = new LinkedHashSet<>();

    int size() {
        return oldestFirst.size();
    }

    /** Adds a connection that has just become idle. */
    void add(PooledConnection connection) {
        connection.server().idle.addLast(connection);
        oldestFirst.add(connection);
    }

    void remove(PooledConnection connection) {
        connection.server().idle.remove(connection);
        oldestFirst.remove(connection);
    }

    /**
     * Takes the most recently used connection to a server that is still clean and has been idle for long enough, at
     * least {@link ServerPool#REUSE_DELAY_MICROS}.
     *
     * @return null if there is none
     */
    PooledConnection pollReusable(ServerInstance server, long nowMicros) {
        for (Iterator<PooledConnection> byRecency = server.idle.descendingIterator(); byRecency.hasNext(); ) {
            PooledConnection connection = byRecency.next();
            if (nowMicros - connection.idleSinceMicros() >= ServerPool.REUSE_DELAY_MICROS) {
                byRecency.remove();
                oldestFirst.remove(connection);
                if (connection.isUsable()) {
                    return connection;
                }
            }
        }
        return null;
    }

    /** Closes the idle connections to one server. */
    void closeAll(ServerInstance server) {
        PooledConnection connection = server.idle.poll();
        while (connection != null) {
            oldestFirst.remove(connection);
            connection.close();
            connection = server.idle.poll();
        }
    }

    /** Closes the connection that has been idle for the longest time; false if there is none. */
    boolean closeOldest() {
        if (oldestFirst.isEmpty()) {
            return false;
        }
        PooledConnection oldest = oldestFirst.iterator().next();
        oldestFirst.remove(oldest);
        oldest.server().idle.remove(oldest);
        oldest.close();
        return true;
    }

    /** Closes the connections that have been idle for this long or longer. */
    void closeOlderThan(long nowMicros, long maxIdleMicros) {
        while (!oldestFirst.isEmpty()
                && nowMicros - oldestFirst.iterator().next().idleSinceMicros() >= maxIdleMicros) {
            closeOldest();
        }
    }
}
