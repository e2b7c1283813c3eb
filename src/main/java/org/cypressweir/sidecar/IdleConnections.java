package org.cypressweir.sidecar;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The idle connections of a pool, by server and by age. To find the oldest one costs the same in a fleet of any
 * size.
 *
 * <p>Confined to the event loop.
 */
final class IdleConnections {

    private final Set<PooledConnection> oldestFirst = new LinkedHashSet<>();

    int size() {
        return oldestFirst.size();
    }

    /** It has become idle now. */
    void add(PooledConnection connection) {
        connection.server().idle.addLast(connection);
        oldestFirst.add(connection);
    }

    void remove(PooledConnection connection) {
        connection.server().idle.remove(connection);
        oldestFirst.remove(connection);
    }

    /**
     * Takes the most recently used connection to a server that has been idle for long enough, if it is still clean.
     *
     * @return null where there is none
     */
    PooledConnection pollSettled(ServerInstance server, long nowMicros) {
        for (Iterator<PooledConnection> latest = server.idle.descendingIterator(); latest.hasNext(); ) {
            PooledConnection connection = latest.next();
            if (nowMicros - connection.idleSinceMicros() >= ServerPool.SETTLE_MICROS) {
                latest.remove();
                oldestFirst.remove(connection);
                if (connection.isUsable()) {
                    return connection;
                }
            }
        }
        return null;
    }

    /** Closes those to one server. */
    void closeAll(ServerInstance server) {
        PooledConnection connection = server.idle.poll();
        while (connection != null) {
            oldestFirst.remove(connection);
            connection.close();
            connection = server.idle.poll();
        }
    }

    /** Closes the one that has been idle for the longest time; false where there is none. */
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

    /** Closes those that have been idle for so long. */
    void closeOlderThan(long nowMicros, long maxIdleMicros) {
        while (!oldestFirst.isEmpty()
                && nowMicros - oldestFirst.iterator().next().idleSinceMicros() >= maxIdleMicros) {
            closeOldest();
        }
    }
}
