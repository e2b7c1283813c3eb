package org.cypressweir.common.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.function.LongSupplier;

/** Makes peer connections without a peer: messages are encoded, counted and discarded. */
public final class HollowPeerConnection {

    /** The frames sent so far and their bytes, length fields included. */
    public static final class SentCount {
        public long frames;
        public long bytes;
    }

    private HollowPeerConnection() {}

    public static PeerConnection of(LongSupplier clockMicros, SentCount sent) {
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                ByteBuf frame = (ByteBuf) message;
                sent.frames++;
                sent.bytes += frame.readableBytes();
                frame.release();
                promise.setSuccess();
            }
        });
        return new PeerConnection(channel, clockMicros, null);
    }
}
