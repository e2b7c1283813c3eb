package org.cypressweir.sidecar;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes a server's responses. It tells whether it holds part of a further message, and rejects header lines without a
 * colon right after the name.
 *
 * <p>One for each connection, on its event loop.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

    private boolean hasPartialMessage;

    ServerResponseDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(ServerConnection.MAX_CHUNK_BYTES));
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        hasPartialMessage = true;
        return super.createMessage(initialLine);
    }

    /** A complete message has been delivered; what is decoded from now on belongs to the next one. */
    void messageEnded() {
        hasPartialMessage = false;
    }

    /** Whether it holds nothing of a further message. */
    boolean isEmpty() {
        return !hasPartialMessage && actualReadableBytes() == 0;
    }

    /** In responses, though not in requests, Netty accepts white space after the name, or a missing colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon after header name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
