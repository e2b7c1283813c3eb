package org.cypressweir.controlplane.controller;

import java.util.Map;
import java.util.function.BiConsumer;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;

/**
 * Dispatches messages received on connections that proxies and other controllers have opened: consensus messages to
 * the replica, all others to the publisher. Runs on the event loop.
 */
final class InboundMessageDispatcher implements PeerConnection.Listener {

    private final ControllerPeers peers;
    private final UpdatePublisher publisher;
    private final BiConsumer<String, Map<String, Object>> replica;

    /** @param replica takes the sender's replica key and a consensus message */
    InboundMessageDispatcher(
            ControllerPeers peers, UpdatePublisher publisher, BiConsumer<String, Map<String, Object>> replica) {
        this.peers = peers;
        this.publisher = publisher;
        this.replica = replica;
    }

    @Override
    public void opened(PeerConnection connection) {}

    @Override
    public void received(PeerConnection connection, Map<String, Object> message, byte[] body) {
        String kind = JsonCodec.text(message, ControllerMessages.KIND);
        if (kind.equals(ControllerMessages.HELLO)) {
            accepted(connection, ControllerMessages.decodeHello(message));
        } else if (!kind.startsWith(ControllerMessages.CONSENSUS_PREFIX)) {
            publisher.received(connection, message);
        } else if (connection.attachment() instanceof String sender) {
            replica.accept(sender, message);
        }
    }

    private void accepted(PeerConnection connection, ControllerMessages.Hello hello) {
        if (hello.isController()) {
            peers.accepted(connection, hello);
        } else {
            publisher.connected(connection, hello.name());
        }
    }

    @Override
    public void closed(PeerConnection connection) {
        peers.disconnected(connection);
        publisher.disconnected(connection);
    }
}
