package org.cypressweir.common.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.function.LongSupplier;

/** A line that ends nowhere: what is sent on it is made, counted and thrown away. */
public final class HollowPeerConnection {

    /** Parcels and their bytes, those of the length in front too. */
    public static final class Count {
        public long parcels;
        public long bytes;
    }

    private HollowPeerConnection() {}

    public static PeerConnection of(LongSupplier micros, Count count) {
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
                ByteBuf out = (ByteBuf) message;
                count.parcels++;
                count.bytes += out.readableBytes();
                out.release();
                promise.setSuccess();
            }
        });
        return new PeerConnection(channel, micros, null);
    }
}
