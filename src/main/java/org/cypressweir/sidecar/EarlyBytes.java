package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** What comes behind a handshake before its connection has switched to another protocol. Confined to the event loop. */
final class EarlyBytes {

    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    /** Takes the buffer over. */
    void add(ByteBuf more) {
        bytes = bytes == Unpooled.EMPTY_BUFFER ? Unpooled.buffer() : bytes;
        bytes.writeBytes(more);
        more.release();
    }

    int size() {
        return bytes.readableBytes();
    }

    /** Gives the bytes away, so that none are left here. */
    ByteBuf take() {
        ByteBuf taken = bytes;
        bytes = Unpooled.EMPTY_BUFFER;
        return taken;
    }
}
