package org.cypressweir.controlplane.controller;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.common.transport.PeerTransport;
import org.cypressweir.controlplane.consensus.ReplicaKey;

/**
 * Connections between this controller and the others: it sends on the connections that it has opened and receives on
 * those that the others have opened. Used by the event loop only.
 */
final class ControllerPeers {

    private static final PeerConnectionPool.Options CONNECTION_OPTIONS =
            new PeerConnectionPool.Options(400_000, 1_000_000, 4_000_000, 100_000, 400_000, 800);

    private final String ownAddress;
    private final PeerConnectionPool pool;
    /** Replica keys by accepted connection, including non-voters: a replica that asks for admission needs an answer. */
    private final Map<PeerConnection, String> acceptedMembers = new HashMap<>();
    /** Other controllers' addresses for operators by peer address; kept after a connection is closed. */
    private final Map<String, String> controlAddresses = new HashMap<>();

    /** @param hello what is sent first on each connection that is opened */
    ControllerPeers(
            PeerTransport transport, LongSupplier clock, String ownAddress, Supplier<Map<String, Object>> hello) {
        this.ownAddress = ownAddress;
        pool = new PeerConnectionPool(transport, clock, CONNECTION_OPTIONS, hello, new SendOnly());
    }

    /** Keeps connections to the seeds, the voters, and all controllers that are connected to this one. */
    void connect(Collection<String> seeds, Collection<String> voters) {
        Set<String> wanted = new HashSet<>(seeds);
        voters.forEach(voter -> wanted.add(ReplicaKey.address(voter)));
        acceptedMembers.values().forEach(member -> wanted.add(ReplicaKey.address(member)));
        wanted.remove(ownAddress);
        pool.setAddresses(wanted);
    }

    /** To be called several times a second. */
    void tick() {
        pool.tick();
    }

    /** Sends to a replica if it is connected; otherwise drops the message, which the protocol tolerates. */
    void send(String member, Map<String, Object> message) {
        pool.send(ReplicaKey.address(member), message);
    }

    /** Another controller has opened this connection. */
    void accepted(PeerConnection connection, ControllerMessages.Hello hello) {
        connection.attach(hello.member());
        acceptedMembers.put(connection, hello.member());
        controlAddresses.put(hello.address(), hello.controlAddress());
    }

    void disconnected(PeerConnection connection) {
        acceptedMembers.remove(connection);
    }

    /** The addresses for operators of those given replicas that are reachable, except this one. */
    List<String> reachableControlAddresses(Collection<String> replicas) {
        return replicas.stream()
                .map(ReplicaKey::address)
                .filter(address -> !address.equals(ownAddress) && pool.isResponsive(address))
                .map(controlAddresses::get)
                .filter(Objects::nonNull)
                .toList();
    }

    /** The controllers that this one keeps connections to, sorted by address. */
    List<ControllerStatus.Peer> statuses() {
        return pool.addresses().stream()
                .sorted()
                .map(address ->
                        new ControllerStatus.Peer(address, controlAddresses.get(address), pool.isResponsive(address)))
                .toList();
    }

    /** Nothing is received on connections that this controller has opened. */
    private static final class SendOnly implements PeerConnectionPool.Listener {
        @Override
        public void connected(String address, PeerConnection connection) {}

        @Override
        public void received(String address, PeerConnection connection, Map<String, Object> message, byte[] body) {}

        @Override
        public void disconnected(String address, PeerConnection connection) {}

        @Override
        public void connectFailed(String address) {}
    }
}
