package org.cypressweir.common.transport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.util.Addresses;

/**
 * Keeps a connection to each of a set of peer addresses and reconnects with backoff as long as an address is in
 * the set.
 *
 * <p>When nothing arrives on a connection for some time, a second one is dialled beside it and becomes the current
 * one. The unresponsive one stays open for a while, since requests in flight may still be answered on it, and is
 * closed if nothing arrives on it.
 *
 * <p>To be used on one event loop only, which also runs the callbacks; {@link #tick} drives its time-outs.
 */
public final class PeerConnectionPool {

    /** Up to this number of peers the time-outs of the options apply unscaled; beyond it they grow in proportion. */
    private static final int UNSCALED_PEERS = 12;

    /**
     * The time-outs of all connections of a pool.
     *
     * @param pingAfterMicros idle time after which the peer is pinged
     * @param unresponsiveAfterMicros time without a message after which a second connection is dialled
     * @param closeAfterMicros time without a message after which a connection is closed
     * @param minBackoffMicros delay after the first failed dial; each further failure doubles it
     * @param maxBackoffMicros upper bound of that delay
     * @param connectTimeoutMillis time-out of one dial
     */
    public record Options(
            long pingAfterMicros,
            long unresponsiveAfterMicros,
            long closeAfterMicros,
            long minBackoffMicros,
            long maxBackoffMicros,
            int connectTimeoutMillis) {}

    /** Notified of the events of all connections of a pool, on its event loop. */
    public interface Listener {
        /** The connection is open and is from now on the current one of its address. */
        void connected(String address, PeerConnection connection);

        void received(String address, PeerConnection connection, Map<String, Object> header, byte[] body);

        /** A connection is closed, current or not; requests in flight on it are lost. */
        void disconnected(String address, PeerConnection connection);

        /** A dial failed while there was no connection to the address. */
        void connectFailed(String address);
    }

    private final PeerTransport transport;
    private final LongSupplier clockMicros;
    private final Options options;
    private final Supplier<Map<String, Object>> greeting;
    private final Listener listener;
    private final Map<String, PooledPeer> peers = new HashMap<>();

    /** @param greeting makes the first message that is sent on each connection */
    public PeerConnectionPool(
            PeerTransport transport,
            LongSupplier clockMicros,
            Options options,
            Supplier<Map<String, Object>> greeting,
            Listener listener) {
        this.transport = transport;
        this.clockMicros = clockMicros;
        this.options = options;
        this.greeting = greeting;
        this.listener = listener;
    }

    /** Connects to the addresses that are new in the set and closes the connections to all that are not in it. */
    public void setAddresses(Set<String> addresses) {
        for (Iterator<PooledPeer> each = peers.values().iterator(); each.hasNext(); ) {
            PooledPeer peer = each.next();
            if (!addresses.contains(peer.address)) {
                each.remove();
                peer.close();
            }
        }
        for (String address : addresses) {
            if (!peers.containsKey(address)) {
                PooledPeer peer = new PooledPeer(address);
                peers.put(address, peer);
                peer.dial();
            }
        }
    }

    public Set<String> addresses() {
        return Set.copyOf(peers.keySet());
    }

    /** The current connection to an address; null while there is none. */
    public PeerConnection connection(String address) {
        PooledPeer peer = peers.get(address);
        return peer == null || peer.current == null || !peer.current.isOpen() ? null : peer.current;
    }

    /** Whether there is a current connection on which a message has arrived lately. */
    public boolean isResponsive(String address) {
        PeerConnection connection = connection(address);
        return connection != null && !isUnresponsive(connection, clockMicros.getAsLong());
    }

    /** Sends a message without a body if there is a connection to the address; returns whether there was one. */
    public boolean send(String address, Map<String, ?> header) {
        PeerConnection connection = connection(address);
        if (connection != null) {
            connection.send(header);
        }
        return connection != null;
    }

    /** Pings, reconnects and closes what has timed out; to be called several times a second. */
    public void tick() {
        long now = clockMicros.getAsLong();
        for (PooledPeer peer : List.copyOf(peers.values())) {
            peer.tick(now);
        }
    }

    public void close() {
        setAddresses(Set.of());
    }

    private boolean isUnresponsive(PeerConnection connection, long now) {
        return now - connection.lastReceivedMicros() > scaled(options.unresponsiveAfterMicros());
    }

    private boolean isTimedOut(PeerConnection connection, long now) {
        return now - connection.lastReceivedMicros() > scaled(options.closeAfterMicros());
    }

    /** A time-out that grows with the number of peers, so that the rate of all pings together stays bounded. */
    private long scaled(long timeoutMicros) {
        return timeoutMicros * Math.max(UNSCALED_PEERS, peers.size()) / UNSCALED_PEERS;
    }

    /** The connections to one address: the current one, and replaced ones that are still open. */
    private final class PooledPeer implements PeerConnection.Listener {

        private final String address;
        private final List<PeerConnection> replaced = new ArrayList<>();
        private PeerConnection current;
        private boolean dialing;
        private boolean closed;
        private long nextDialMicros;
        private long lastPingMicros;
        private long backoffMicros = options.minBackoffMicros();

        private PooledPeer(String address) {
            this.address = address;
        }

        private void dial() {
            if (dialing || closed) {
                return;
            }
            dialing = true;
            transport.dial(Addresses.parse(address), options.connectTimeoutMillis(), this, cause -> dialFailed());
        }

        private void dialFailed() {
            dialing = false;
            nextDialMicros = clockMicros.getAsLong() + backoffMicros;
            backoffMicros = Math.min(options.maxBackoffMicros(), backoffMicros * 2);
            if (current == null && !closed) {
                listener.connectFailed(address);
            }
        }

        @Override
        public void opened(PeerConnection connection) {
            dialing = false;
            backoffMicros = options.minBackoffMicros();
            if (closed) {
                connection.close();
                return;
            }
            if (current != null) {
                replaced.add(current);
            }
            current = connection;
            connection.send(greeting.get());
            listener.connected(address, connection);
        }

        @Override
        public void received(PeerConnection connection, Map<String, Object> header, byte[] body) {
            listener.received(address, connection, header, body);
        }

        @Override
        public void closed(PeerConnection connection) {
            replaced.remove(connection);
            if (connection == current) {
                current = null;
                nextDialMicros = clockMicros.getAsLong();
            }
            listener.disconnected(address, connection);
            if (current == null) {
                dial();
            }
        }

        private void tick(long now) {
            if (current == null) {
                dialIfDue(now);
            } else if (isUnresponsive(current, now)) {
                replaceUnresponsive(now);
            } else {
                pingIfIdle(now);
            }
            for (PeerConnection connection : List.copyOf(replaced)) {
                if (isTimedOut(connection, now)) {
                    connection.close();
                }
            }
        }

        private void dialIfDue(long now) {
            if (now >= nextDialMicros) {
                dial();
            }
        }

        private void replaceUnresponsive(long now) {
            PeerConnection unresponsive = current;
            if (now >= nextDialMicros) {
                nextDialMicros = now + scaled(options.unresponsiveAfterMicros());
                dial();
            }
            if (isTimedOut(unresponsive, now)) {
                unresponsive.close();
            }
        }

        /** A connection on which only one side sends is idle too: that side learns nothing about the other one. */
        private void pingIfIdle(long now) {
            long idleSince = Math.min(current.lastReceivedMicros(), current.lastSentMicros());
            long pingAfter = scaled(options.pingAfterMicros());
            if (now - idleSince > pingAfter && now - lastPingMicros > pingAfter) {
                lastPingMicros = now;
                current.ping();
            }
        }

        private void close() {
            closed = true;
            if (current != null) {
                current.close();
            }
            List.copyOf(replaced).forEach(PeerConnection::close);
        }
    }
}
