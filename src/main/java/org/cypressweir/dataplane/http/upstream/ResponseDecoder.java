package org.cypressweir.dataplane.http.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.function.Predicate;

/**
 * Decodes responses strictly: it rejects any whose length is ambiguous (RFC 9112 section 6.3). Determines for each
 * response whether it has a body at all.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_CHUNK_BYTES = 64 * 1024;
    private static final int MAX_HEADER_BYTES = 64 * 1024;

    private final Predicate<HttpResponse> respondsToHead;
    private boolean bodiless;

    /** @param respondsToHead whether the response with this head belongs to a HEAD request */
    ResponseDecoder(Predicate<HttpResponse> respondsToHead) {
        super(new HttpDecoderConfig()
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.respondsToHead = respondsToHead;
    }

    /** Whether the response whose head was decoded last has no body, whatever its headers say. */
    boolean isBodiless() {
        return bodiless;
    }

    /** Whether received bytes are left that were not decoded. */
    boolean hasSurplusBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        bodiless = super.isContentAlwaysEmpty(message)
                || message instanceof HttpResponse response && respondsToHead.test(response);
        return bodiless;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
    }

    /**
     * Rejects a header without a colon directly after its name (RFC 9112 section 5.1). In responses, unlike in
     * requests, the superclass accepts a space there and a missing colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
