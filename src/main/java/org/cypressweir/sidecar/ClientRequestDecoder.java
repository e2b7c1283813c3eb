package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The decoder of client requests. It tells whether it holds part of a further message, and passes the bytes after an
 * upgrade request through unchanged.
 *
 * <p>One per connection, on its event loop.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {

    private final BooleanSupplier allowsUpgrades;
    private boolean hasBegun;
    /** The message being decoded asks for an upgrade. */
    private boolean asksForUpgrade;
    /** An upgrade request is complete, so the bytes that follow may not be HTTP. */
    private boolean passesBytes;

    ClientRequestDecoder(BooleanSupplier allowsUpgrades) {
        super(new HttpDecoderConfig().setMaxChunkSize(ServerConnection.MAX_CHUNK_BYTES));
        this.allowsUpgrades = allowsUpgrades;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) throws Exception {
        if (passesBytes) {
            out.add(bytes.readRetainedSlice(bytes.readableBytes()));
            return;
        }
        int before = out.size();
        super.decode(context, bytes, out);
        for (int i = before; i < out.size(); i++) {
            if (out.get(i) instanceof HttpRequest head) {
                asksForUpgrade = head.headers().contains(HttpHeaderNames.UPGRADE) && allowsUpgrades.getAsBoolean();
            }
            passesBytes |= asksForUpgrade && out.get(i) instanceof LastHttpContent;
        }
    }

    /** The request is not an upgrade after all: the bytes that follow are HTTP. */
    void resumeHttp() {
        passesBytes = false;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        hasBegun = true;
        return super.createMessage(initialLine);
    }

    /** A complete message has been passed on; anything decoded from now on belongs to the next one. */
    void messageEnded() {
        hasBegun = false;
    }

    /** Whether it holds nothing of a further message. */
    boolean isEmpty() {
        return !hasBegun && actualReadableBytes() == 0;
    }
}
