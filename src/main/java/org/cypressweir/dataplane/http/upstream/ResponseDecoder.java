package org.cypressweir.dataplane.http.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.function.Predicate;

/** Takes no answer whose bounds are in doubt, and knows of each whether it has a body at all. */
final class ResponseDecoder extends HttpResponseDecoder {
    private final Predicate<HttpResponse> toHead;
    private boolean bodiless;

    /** Told of an answer's head, the predicate knows whether it answers a HEAD. */
    ResponseDecoder(Predicate<HttpResponse> toHead) {
        super(new HttpDecoderConfig()
                .setMaxChunkSize(64 * 1024)
                .setMaxHeaderSize(64 * 1024)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.toHead = toHead;
    }

    /** Of the answer whose head came last. */
    boolean bodiless() {
        return bodiless;
    }

    /** Whether more has come than was made an answer of. */
    boolean hasMore() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        bodiless = super.isContentAlwaysEmpty(message)
                || message instanceof HttpResponse response && toHead.test(response);
        return bodiless;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("two bounds of one body");
    }

    /** In answers, though not in requests, a name may end with a space, and the colon may lack. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("no colon behind a header's name");
        }
        return super.splitHeaderName(line, start, length);
    }
}
