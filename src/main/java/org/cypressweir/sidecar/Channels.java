package org.cypressweir.sidecar;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;

/** What connections of both sides need of a channel beside Netty's own methods; on its event loop only. No state. */
final class Channels {

    private Channels() {}

    /** Takes in what the kernel holds for a channel: bytes of a connection, or connections of a listening socket. */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    /** Bytes that the owner of a connection has written and the socket has not taken. */
    static long waitingBytes(Channel channel) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }
}
