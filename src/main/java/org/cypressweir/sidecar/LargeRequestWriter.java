package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Writes a large request no faster than the server accepts it, because unwritten data occupies memory of this process.
 *
 * <p>One per request, on the event loop. {@link #release} ends it if the connection ends first.
 */
final class LargeRequestWriter {

    private final Channel channel;
    private final ChannelFutureListener sent;
    /** The unwritten part of the body; null once everything is written. */
    private ByteBuf remaining;

    /**
     * Writes the head. The content is released once all of it is written.
     *
     * @param sent notified when the last byte has been handed to the network, or writing has failed
     */
    LargeRequestWriter(Channel channel, FullHttpRequest request, ChannelFutureListener sent) {
        this.channel = channel;
        this.sent = sent;
        remaining = request.content();
        channel.write(
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()));
    }

    /** Writes as much as the channel accepts now. */
    void resume() {
        while (remaining != null && channel.isActive() && channel.isWritable()) {
            ByteBuf part =
                    remaining.readRetainedSlice(Math.min(ServerConnection.MAX_CHUNK_BYTES, remaining.readableBytes()));
            if (remaining.isReadable()) {
                channel.write(new DefaultHttpContent(part));
            } else {
                release();
                channel.write(new DefaultLastHttpContent(part)).addListener(sent);
            }
        }
        channel.flush();
    }

    /** Stops writing and releases the rest of the body. */
    void release() {
        if (remaining != null) {
            remaining.release();
            remaining = null;
        }
    }
}
