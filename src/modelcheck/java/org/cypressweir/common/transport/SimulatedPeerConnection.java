package org.cypressweir.common.transport;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/** Makes peer connections on channels that the caller provides, for simulated networks. */
public final class SimulatedPeerConnection {

    private SimulatedPeerConnection() {}

    public static PeerConnection on(Channel channel, LongSupplier clockMicros, PeerConnection.Listener listener) {
        PeerConnection connection = new PeerConnection(channel, clockMicros, listener);
        connection.installHandlers();
        return connection;
    }
}
