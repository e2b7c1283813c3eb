package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Buffers the bytes received after a handshake before the connection has switched protocols. Confined to the event
 * loop.
 */
final class EarlyBytes {

    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /** Appends the bytes; takes ownership of the buffer. */
    void add(ByteBuf more) {
        bytes = bytes == Unpooled.EMPTY_BUFFER ? Unpooled.buffer() : bytes;
        bytes.writeBytes(more);
        more.release();
    }

    int size() {
        return bytes.readableBytes();
    }

    /** Returns the buffered bytes and empties this buffer. */
    ByteBuf take() {
        ByteBuf taken = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return taken;
    }
}
