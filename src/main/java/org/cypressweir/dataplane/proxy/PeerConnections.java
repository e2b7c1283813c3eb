package org.cypressweir.dataplane.proxy;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.RequestDispatcher;

/**
 * The connections that this proxy opens to its peers: tracks which peers are reachable, and passes the peers' messages
 * to the forwarder and the endpoint directory. Used on the event loop alone.
 */
final class PeerConnections implements PeerConnectionPool.Listener {

    private static final PeerConnectionPool.Options CONNECTION_OPTIONS =
            new PeerConnectionPool.Options(3_000_000, 6_000_000, 12_000_000, 100_000, 500_000, 700);

    private final LongSupplier clock;
    private final String ownAddress;
    private final EndpointDirectory directory;
    private final Runnable onReachabilityChange;
    private final PeerConnectionPool pool;
    private final PeerForwarder forwarder;
    /** Peers that refused or lost a connection, and that none has been opened to since. */
    private final Set<String> unreachable = new HashSet<>();

    /**
     * @param incarnation when this process started, in microseconds
     * @param localDispatcher takes the attempts that go to the application instance beside this proxy
     */
    PeerConnections(
            PeerTransport transport,
            LongSupplier clock,
            String proxyName,
            String ownAddress,
            long incarnation,
            RequestDispatcher localDispatcher,
            EndpointDirectory directory,
            Runnable onReachabilityChange) {
        this.clock = clock;
        this.ownAddress = ownAddress;
        this.directory = directory;
        this.onReachabilityChange = onReachabilityChange;
        pool = new PeerConnectionPool(transport, clock, CONNECTION_OPTIONS, () -> hello(proxyName), this);
        forwarder = new PeerForwarder(clock, ownAddress, incarnation, localDispatcher, pool::connection);
    }

    private Map<String, Object> hello(String proxyName) {
        return forwarder.hello(proxyName);
    }

    PeerForwarder forwarder() {
        return forwarder;
    }

    /** Replaces the addresses of the peers to connect to. */
    void updatePeers(Set<String> addresses) {
        pool.setAddresses(addresses);
    }

    Set<String> addresses() {
        return pool.addresses();
    }

    /** The connection to use now; null for none. */
    PeerConnection connection(String address) {
        return pool.connection(address);
    }

    boolean isUnreachable(String address) {
        return unreachable.contains(address);
    }

    /** Whether the registration is this proxy's own, or there is a connection to its proxy. */
    boolean reaches(ProxyRegistration registration) {
        String address = registration.address();
        return address.equals(ownAddress) || pool.connection(address) != null && !unreachable.contains(address);
    }

    /** To be called several times a second. */
    void tick() {
        pool.tick();
        forwarder.tick();
    }

    @Override
    public void connected(String address, PeerConnection connection) {
        unreachable.remove(address);
        onReachabilityChange.run();
    }

    @Override
    public void received(String address, PeerConnection connection, Map<String, Object> head, byte[] body) {
        PeerMessage message = PeerMessageCodec.decode(head, body, clock.getAsLong());
        if (message instanceof PeerMessage.ForwardedResponse response) {
            forwarder.responseReceived(connection, response);
        } else if (message instanceof PeerMessage.RegistrationUpdate update) {
            forwarder.incarnationReceived(connection, update.registration().incarnation());
            directory.updateDirect(update.registration());
        }
    }

    @Override
    public void disconnected(String address, PeerConnection connection) {
        forwarder.connectionLost(connection);
        if (pool.connection(address) == null) {
            markUnreachable(address);
        }
    }

    @Override
    public void connectFailed(String address) {
        markUnreachable(address);
    }

    private void markUnreachable(String address) {
        unreachable.add(address);
        onReachabilityChange.run();
    }
}
