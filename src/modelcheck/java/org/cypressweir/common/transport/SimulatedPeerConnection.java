package org.cypressweir.common.transport;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/** A line's end on a channel that somebody else has made. */
public final class SimulatedPeerConnection {

    private SimulatedPeerConnection() {}

    public static PeerConnection on(Channel channel, LongSupplier micros, PeerConnection.Ear ear) {
        PeerConnection line = new PeerConnection(channel, micros, ear);
        line.take();
        return line;
    }
}
