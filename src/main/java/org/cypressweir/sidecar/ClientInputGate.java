package org.cypressweir.sidecar;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;

/**
 * The first handler of a client connection: drops input on a rejected connection before it is decoded.
 *
 * <p>One per connection, on its event loop.
 */
final class ClientInputGate extends ChannelInboundHandlerAdapter {

    private final ClientConnection connection;

    ClientInputGate(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        if (connection.admitsInput()) {
            context.fireChannelRead(bytes);
        } else {
            ReferenceCountUtil.release(bytes);
        }
    }
}
