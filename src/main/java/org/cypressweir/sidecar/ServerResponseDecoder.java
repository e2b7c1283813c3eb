package org.cypressweir.sidecar;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * The decoder of a server's responses. It shows whether it holds a part of a further message, and takes no line of
 * a head without a colon.
 *
 * <p>One for each connection, on its event loop.
 */
final class ServerResponseDecoder extends HttpResponseDecoder {

    private boolean hasBegun;

    ServerResponseDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(ServerConnection.CHUNK));
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        hasBegun = true;
        return super.createMessage(initialLine);
    }

    /** A complete message has been handed on; what is decoded from now on is another. */
    void messageEnded() {
        hasBegun = false;
    }

    /** Whether it holds nothing of a further message. */
    boolean isEmpty() {
        return !hasBegun && actualReadableBytes() == 0;
    }

    /** Netty allows, in responses though not in requests, a space behind the name, or no colon. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
