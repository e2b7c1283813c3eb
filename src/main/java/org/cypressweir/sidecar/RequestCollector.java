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
import org.cypressweir.sidecar.buffering.BodyBudget.Decision;
import org.cypressweir.sidecar.buffering.BodyBudget.Reservation;

/**
 * Collects complete requests. Small ones are always accepted; a larger one must be granted buffer space first, and
 * until then nothing more is read from its client.
 */
final class RequestCollector extends ChannelInboundHandlerAdapter {

    /**
     * Buffer space is requested in steps of this many bytes, so that a slow client that announces a large body reserves
     * no space in advance.
     */
    private static final int BUDGET_STEP_BYTES = 128 * 1024;

    private static final int CHUNK_BYTES = 32 * 1024;

    /** Handles the rejection of a request. */
    interface RejectionHandler {
        void rejected(HttpResponseStatus status, String why);
    }

    private final LargeRequests largeRequests;
    private final RejectionHandler rejectionHandler;
    private ChannelHandlerContext context;
    private HttpRequest head;
    private final List<ByteBuf> chunks = new ArrayList<>();
    private int size;
    /** The request's share of the buffer budget; null while it is small. */
    private Reservation share;

    private boolean isWaitingForBudget;

    RequestCollector(LargeRequests largeRequests, RejectionHandler rejectionHandler) {
        this.largeRequests = largeRequests;
        this.rejectionHandler = rejectionHandler;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Whether the client waits for buffer space, rather than the sidecar for the client. */
    boolean isWaitingForBudget() {
        return isWaitingForBudget;
    }

    /** Number of body bytes received. */
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
        discard();
        head = request;
        if (request.decoderResult().isFailure()) {
            forward(request.decoderResult());
            return;
        }
        String expected = request.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            reject(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation");
        } else if (HttpUtil.getContentLength(request, -1L) > LargeRequests.MAX_BYTES) {
            rejectTooLarge();
        } else if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void askForBudget(long bytes) {
        share = share == null ? largeRequests.share(this::granted, this::refused) : share;
        Decision answer = largeRequests.ask(share, bytes);
        if (answer == Decision.REFUSED) {
            rejectTooLarge();
        } else if (answer == Decision.WAITS) {
            isWaitingForBudget = true;
            context.channel().config().setAutoRead(false);
        }
    }

    private void granted() {
        if (isWaitingForBudget) {
            isWaitingForBudget = false;
            context.channel().config().setAutoRead(true);
        }
    }

    /** The request has reached no server, so the client can safely retry. */
    private void refused() {
        if (isWaitingForBudget) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, "no room for the body");
        }
    }

    private void take(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            forward(content.decoderResult());
            return;
        }
        append(content.content());
        if (head != null && content instanceof LastHttpContent) {
            forward(head.decoderResult());
        }
    }

    private void append(ByteBuf bytes) {
        size += bytes.readableBytes();
        while (bytes.isReadable()) {
            ByteBuf last = chunks.isEmpty() ? null : chunks.get(chunks.size() - 1);
            if (last == null || !last.isWritable()) {
                // The first buffer grows with the body; a body that has filled one buffer is likely to fill more.
                last = chunks.isEmpty() ? Unpooled.buffer(256, CHUNK_BYTES) : Unpooled.buffer(CHUNK_BYTES, CHUNK_BYTES);
                chunks.add(last);
            }
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
        }
        if (size > LargeRequests.MAX_BYTES) {
            rejectTooLarge();
        } else if (size > ServerConnection.MAX_BODY_BYTES
                && !isWaitingForBudget
                && (share == null || size > share.grantedBytes())) {
            askForBudget(Math.max(BUDGET_STEP_BYTES, size - (share == null ? 0 : share.grantedBytes())));
        }
    }

    /** Passes the request on; it is invalid if the result is a failure. */
    private void forward(DecoderResult result) {
        ByteBuf content = share != null
                ? largeRequests.assemble(chunks, share)
                : chunks.size() == 1 ? chunks.get(0) : Unpooled.wrappedBuffer(chunks.toArray(ByteBuf[]::new));
        FullHttpRequest request = new DefaultFullHttpRequest(
                head.protocolVersion(),
                head.method(),
                head.uri(),
                content,
                new DefaultHttpHeaders().set(head.headers()),
                EmptyHttpHeaders.INSTANCE);
        HttpUtil.setTransferEncodingChunked(request, false);
        request.headers().remove(HttpHeaderNames.EXPECT);
        request.setDecoderResult(result);
        chunks.clear();
        share = null;
        discard();
        context.fireChannelRead(request);
    }

    private void rejectTooLarge() {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void reject(HttpResponseStatus status, String why) {
        discard();
        rejectionHandler.rejected(status, why);
    }

    /** Discards the partly received request and releases its buffer space. */
    private void discard() {
        head = null;
        size = 0;
        chunks.forEach(ByteBuf::release);
        chunks.clear();
        if (isWaitingForBudget) {
            isWaitingForBudget = false;
            context.channel().config().setAutoRead(true);
        }
        if (share != null) {
            Reservation released = share;
            share = null;
            largeRequests.free(released);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext c) {
        discard();
        c.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext c) {
        Channel channel = c.channel();
        boolean reads = channel.config().isAutoRead();
        discard();
        channel.config().setAutoRead(reads);
    }
}
