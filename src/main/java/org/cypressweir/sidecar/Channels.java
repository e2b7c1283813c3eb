package org.cypressweir.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Channel operations for client and server connections beyond Netty's own methods. Stateless; for use on the channel's
 * event loop only.
 */
final class Channels {

    private Channels() {}

    /**
     * Reads what the kernel holds for a channel: bytes of a connection, or pending connections of a listening socket.
     */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /** Number of bytes written to the channel that the socket has not accepted yet. */
    static long pendingWriteBytes(Channel channel) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }
}
