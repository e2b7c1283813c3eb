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

/** Puts whole answers together. What can't be known to be one whole answer is told as broken, once. */
final class ResponseAssembler extends ChannelInboundHandlerAdapter {

    /** Who is told. */
    interface Sink {
        void whole(UpstreamResponse answer);

        void broken(String why);

        /** All that came in this read has been looked at. */
        void readOver();
    }

    private static final byte[] NOTHING = {};
    /** Up to here a told length is believed before so much has come. */
    private static final int EXACT = 64 * 1024;

    private final ResponseDecoder decoder;
    private final int most;
    private final Sink sink;
    private HttpResponse head;
    private byte[] body = NOTHING;
    private int size;
    /** What the head says of the body, -1 where the body does. */
    private long length;

    private boolean dead;

    ResponseAssembler(ResponseDecoder decoder, int most, Sink sink) {
        this.decoder = decoder;
        this.most = most;
        this.sink = sink;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (!dead && message instanceof HttpResponse response) {
                begin(response);
            }
            if (!dead && head != null && message instanceof HttpContent content) {
                take(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        sink.readOver();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        dead(cause.getClass().getSimpleName());
    }

    private void begin(HttpResponse response) {
        head = response;
        body = NOTHING;
        size = 0;
        int status = response.status().code();
        HttpVersion version = response.protocolVersion();
        List<String> encodings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = encodings.size() == 1 && encodings.get(0).equalsIgnoreCase("chunked");
        boolean sized = response.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
        if (!response.decoderResult().isSuccess()
                || status < 100
                || status > 599
                || status == 101
                || !version.protocolName().equals("HTTP")
                || version.majorVersion() != 1) {
            dead("bytes that form no answer");
        } else if (decoder.bodiless()) {
            length = 0;
        } else if (chunked) {
            length = -1;
        } else if (!encodings.isEmpty() || !sized) {
            dead("an answer whose end can't be known");
        } else {
            length = HttpUtil.getContentLength(response, -1L);
            if (length > most) {
                dead("an answer that is too large");
            }
        }
    }

    private void take(HttpContent content) {
        ByteBuf bytes = content.content();
        if (!content.decoderResult().isSuccess()) {
            dead("bytes that form no answer");
            return;
        }
        if (size + (long) bytes.readableBytes() > most) {
            dead("an answer that is too large");
            return;
        }
        add(bytes);
        if (content instanceof LastHttpContent) {
            end();
        }
    }

    private void add(ByteBuf bytes) {
        int more = bytes.readableBytes();
        if (size + more > body.length) {
            long room = length > 0 && length <= EXACT ? length : Math.min(most, 256L + 2L * (size + more));
            body = Arrays.copyOf(body, (int) room);
        }
        bytes.readBytes(body, size, more);
        size += more;
    }

    private void end() {
        HttpResponse whole = head;
        head = null;
        if (whole.status().code() < 200) {
            return;
        }
        if (length >= 0 && size != length) {
            dead("an answer that was cut off");
            return;
        }
        byte[] bytes = size == body.length ? body : Arrays.copyOf(body, size);
        body = NOTHING;
        sink.whole(new UpstreamResponse(whole.status().code(), headers(whole), bytes, HttpUtil.isKeepAlive(whole)));
    }

    private static List<Map.Entry<String, String>> headers(HttpResponse whole) {
        List<Map.Entry<String, String>> headers =
                new ArrayList<>(whole.headers().size());
        for (Map.Entry<String, String> header : whole.headers()) {
            headers.add(Map.entry(header.getKey(), header.getValue()));
        }
        return Collections.unmodifiableList(headers);
    }

    private void dead(String why) {
        if (!dead) {
            dead = true;
            head = null;
            body = NOTHING;
            sink.broken(why);
        }
    }
}
