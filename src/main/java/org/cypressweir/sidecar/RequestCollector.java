package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.sidecar.buffering.BodyBudget.Share;
import org.cypressweir.sidecar.buffering.BodyBudget.Word;

/**
 * Collects whole requests. Small ones are always taken; what a larger one needs is asked for before it is
 * read, and until it is granted nothing more is read from its client.
 */
final class RequestCollector extends ChannelInboundHandlerAdapter {

    /** So much is asked for at a time: a slow client that tells a great length holds no room in advance. */
    private static final int STEP = 128 * 1024;

    private static final int PIECE = 32 * 1024;

    /** Who hears that what comes is no request. */
    interface Judge {
        void rejected(HttpResponseStatus status, String why);
    }

    private final LargeRequests uploads;
    private final Judge judge;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private final List<ByteBuf> pieces = new ArrayList<>();
    private int size;
    /** Null while it is small. */
    private Share share;

    private boolean waits;

    RequestCollector(LargeRequests uploads, Judge judge) {
        this.uploads = uploads;
        this.judge = judge;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Whether its client waits for room, and not the other way round. */
    boolean waits() {
        return waits;
    }

    /** Bytes of the body that have come. */
    int size() {
        return size;
    }

    @Override
    public void channelRead(ChannelHandlerContext c, Object message) {
        if (!(message instanceof HttpObject)) {
            c.fireChannelRead(message);
            return;
        }
        try {
            if (message instanceof HttpRequest request) {
                begin(request);
            }
            if (head != null && message instanceof HttpContent content) {
                take(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(HttpRequest request) {
        drop();
        head = request;
        if (request.decoderResult().isFailure()) {
            hand(request.decoderResult());
            return;
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        } else if (HttpUtil.getContentLength(request, -1L) > LargeRequests.MOST) {
            rejectTooLarge();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void ask(long bytes) {
        share = share == null ? uploads.share(this::granted, this::refused) : share;
        Word word = uploads.ask(share, bytes);
        if (word == Word.REFUSED) {
            rejectTooLarge();
        } else if (word == Word.WAITS) {
            waits = true;
            context.channel().config().setAutoRead(false);
        }
    }

    private void granted() {
        if (waits) {
            waits = false;
            context.channel().config().setAutoRead(true);
        }
    }

    /** It has been nowhere, so to come back does no harm. */
    private void refused() {
        if (waits) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the body");
        }
    }

    private void take(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            hand(content.decoderResult());
            return;
        }
        append(content.content());
        if (head != null && content instanceof LastHttpContent) {
            hand(head.decoderResult());
        }
    }

    private void append(ByteBuf bytes) {
        size += bytes.readableBytes();
        while (bytes.isReadable()) {
            ByteBuf last = pieces.isEmpty() ? null : pieces.get(pieces.size() - 1);
            if (last == null || !last.isWritable()) {
                // The first grows with what comes; whoever has filled one will fill others.
                last = pieces.isEmpty() ? Unpooled.buffer(256, PIECE) : Unpooled.buffer(PIECE, PIECE);
                pieces.add(last);
            }
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
        }
        if (size > LargeRequests.MOST) {
            rejectTooLarge();
        } else if (size > ServerConnection.MAX_BODY && !waits && (share == null || size > share.has())) {
            ask(Math.max(STEP, size - (share == null ? 0 : share.has())));
        }
    }

    /** Hands the request on; it is none where the result is a failure. */
    private void hand(DecoderResult result) {
        ByteBuf content = share != null
                ? uploads.whole(pieces, share)
                : pieces.size() == 1 ? pieces.get(0) : Unpooled.wrappedBuffer(pieces.toArray(ByteBuf[]::new));
        FullHttpRequest whole = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                content,
                new DefaultHttpHeaders().set(head.headers()),
                EmptyHttpHeaders.INSTANCE);
        HttpUtil.setTransferEncodingChunked(whole, false);
        whole.headers().remove(HttpHeaderNames.EXPECT);
        whole.setDecoderResult(result);
        pieces.clear();
        share = null;
        drop();
        context.fireChannelRead(whole);
    }

    private void rejectTooLarge() {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void reject(HttpResponseStatus status, String why) {
        drop();
        judge.rejected(status, why);
    }

    /** Forgets what has come of a request and gives its room back. */
    private void drop() {
        head = null;
        size = 0;
        pieces.forEach(ByteBuf::release);
        pieces.clear();
        if (waits) {
            waits = false;
            context.channel().config().setAutoRead(true);
        }
        if (share != null) {
            Share gone = share;
            share = null;
            uploads.free(gone);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        drop();
        c.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext c) {
        Channel channel = c.channel();
        boolean reads = channel.config().isAutoRead();
        drop();
        channel.config().setAutoRead(reads);
    }
}
