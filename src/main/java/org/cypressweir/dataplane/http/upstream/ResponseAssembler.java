package org.cypressweir.dataplane.http.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/**
 * Assembles complete responses from what the decoder emits. Bytes that do not provably form one complete response are
 * reported as a failure, once, and nothing is reported after it.
 */
final class ResponseAssembler extends ChannelInboundHandlerAdapter {

    /** Receives the responses. */
    interface Listener {
        void onResponse(UpstreamResponse response);

        void onInvalidResponse(String why);

        /** All bytes of the current read have been processed. */
        void onReadComplete();
    }

    private static final byte[] NO_BYTES = {};
    /** Up to this length a body gets its whole buffer at once; a larger buffer grows as bytes are received. */
    private static final int MAX_INITIAL_CAPACITY = 64 * 1024;

    private static final long UNKNOWN_LENGTH = -1;

    // Reasons reach other proxies and traces of requests: their texts are fixed.
    private static final String MALFORMED = "bytes that form no answer";
    private static final String NO_LENGTH = "an answer whose end can't be known";
    private static final String TOO_LARGE = "an answer that is too large";
    static final String TRUNCATED = "an answer that was cut off";

    private final ResponseDecoder decoder;
    private final int maxBodyBytes;
    private final Listener listener;
    private HttpResponse head;
    private byte[] body = NO_BYTES;
    private int size;
    /** The body's length according to the head. */
    private long length;

    private boolean failed;

    ResponseAssembler(ResponseDecoder decoder, int maxBodyBytes, Listener listener) {
        this.decoder = decoder;
        this.maxBodyBytes = maxBodyBytes;
        this.listener = listener;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!failed && message instanceof HttpResponse response) {
                begin(response);
            }
            if (!failed && head != null && message instanceof HttpContent content) {
                append(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        listener.onReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.getClass().getSimpleName());
    }

    private void begin(HttpResponse response) {
        head = response;
        body = NO_BYTES;
        size = 0;
        if (!isSupported(response)) {
            fail(MALFORMED);
        } else if (decoder.isBodiless()) {
            length = 0;
        } else {
            readFraming(response);
        }
    }

    /** Accepts HTTP/1.x without a protocol upgrade. */
    private static boolean isSupported(HttpResponse response) {
        int status = response.status().code();
        HttpVersion version = response.protocolVersion();
        return response.decoderResult().isSuccess()
                && status >= 100
                && status <= 599
                && status != 101
                && version.protocolName().equals("HTTP")
                && version.majorVersion() == 1;
    }

    /** RFC 9112 section 6.3, without bodies delimited by the end of the connection: a truncated one looks complete. */
    private void readFraming(HttpResponse response) {
        List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked")) {
            length = UNKNOWN_LENGTH;
        } else if (!encodings.isEmpty() || !response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            fail(NO_LENGTH);
        } else {
            length = HttpUtil.getContentLength(response, UNKNOWN_LENGTH);
            if (length > maxBodyBytes) {
                fail(TOO_LARGE);
            }
        }
    }

    private void append(HttpContent content) {
        ByteBuf bytes = content.content();
        if (!content.decoderResult().isSuccess()) {
            fail(MALFORMED);
            return;
        }
        if (size + (long) bytes.readableBytes() > maxBodyBytes) {
            fail(TOO_LARGE);
            return;
        }
        append(bytes);
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void append(ByteBuf bytes) {
        int count = bytes.readableBytes();
        if (size + count > body.length) {
            long capacity = length > 0 && length <= MAX_INITIAL_CAPACITY
                    ? length
                    : Math.min(maxBodyBytes, 256L + 2L * (size + count));
            body = Arrays.copyOf(body, (int) capacity);
        }
        bytes.readBytes(body, size, count);
        size += count;
    }

    private void complete() {
        HttpResponse response = head;
        head = null;
        boolean interim = response.status().code() < 200;
        if (interim) {
            return;
        }
        if (length >= 0 && size != length) {
            fail(TRUNCATED);
            return;
        }
        byte[] bytes = size == body.length ? body : Arrays.copyOf(body, size);
        body = NO_BYTES;
        listener.onResponse(new UpstreamResponse(
                response.status().code(), headers(response), bytes, HttpUtil.isKeepAlive(response)));
    }

    private static List<Map.Entry<String, String>> headers(HttpResponse response) {
        List<Map.Entry<String, String>> headers =
                new ArrayList<>(response.headers().size());
        for (Map.Entry<String, String> header : response.headers()) {
            headers.add(Map.entry(header.getKey(), header.getValue()));
        }
        return Collections.unmodifiableList(headers);
    }

    private void fail(String why) {
        if (!failed) {
            failed = true;
            head = null;
            body = NO_BYTES;
            listener.onInvalidResponse(why);
        }
    }
}
