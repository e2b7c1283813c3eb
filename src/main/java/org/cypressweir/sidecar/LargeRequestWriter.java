package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Writes a large request as fast as the server takes it: what waits to be written is memory of this process.
 *
 * <p>One for each request, on the event loop. {@link #release} ends it where the connection ends before.
 */
final class LargeRequestWriter {

    private final Channel channel;
    private final ChannelFutureListener sent;
    /** What has not been written of the body; null once all is. */
    private ByteBuf rest;

    /**
     * Writes the head. The content is released once all of it is written.
     *
     * @param sent told when the last byte has been handed to the network, or can't be
     */
    LargeRequestWriter(Channel channel, FullHttpRequest request, ChannelFutureListener sent) {
        this.channel = channel;
        this.sent = sent;
        rest = request.content();
        channel.write(
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()));
    }

    /** Writes as much as the channel takes now. */
    void resume() {
        while (rest != null && channel.isActive() && channel.isWritable()) {
            ByteBuf part = rest.readRetainedSlice(Math.min(ServerConnection.CHUNK, rest.readableBytes()));
            if (rest.isReadable()) {
                channel.write(new DefaultHttpContent(part));
            } else {
                release();
                channel.write(new DefaultLastHttpContent(part)).addListener(sent);
            }
        }
        channel.flush();
    }

    /** Nothing more will be written. */
    void release() {
        if (rest != null) {
            rest.release();
            rest = null;
        }
    }
}
