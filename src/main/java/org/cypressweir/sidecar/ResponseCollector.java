package org.cypressweir.sidecar;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Buffers a server's responses up to a size limit; a larger one is streamed as it arrives, if the connection's owner
 * accepts it.
 *
 * <p>One for each {@link ServerConnection}, on its event loop.
 */
final class ResponseCollector extends ChannelInboundHandlerAdapter {

    /** Longest body that is streamed, if its length is announced. */
    private static final long MAX_STREAMED_BYTES = 64L * 1024 * 1024;

    private static final int INITIAL_BODY_BYTES = 256;

    private final ServerConnection connection;
    private final int maxBodyBytes;
    /** Head of the current response; null between responses. */
    private HttpResponse head;

    private ByteBuf body;
    /** Where the current response is streamed to; null if it is buffered. */
    private StreamedResponse stream;

    ResponseCollector(ServerConnection connection, int maxBodyBytes) {
        this.connection = connection;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof HttpObject)) {
            context.fireChannelRead(message);
            return;
        }
        try {
            if (message instanceof HttpResponse response) {
                begin(context, response);
            }
            if (head != null && message instanceof HttpContent content) {
                append(context, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void begin(ChannelHandlerContext context, HttpResponse response) {
        head = response;
        body = Unpooled.buffer(INITIAL_BODY_BYTES);
        if (response.decoderResult().isFailure()) {
            deliver(context, response.decoderResult());
        } else if (HttpUtil.getContentLength(response, -1L) > maxBodyBytes) {
            beginStream(context);
        }
    }

    private void append(ChannelHandlerContext context, HttpContent content) {
        if (stream == null && body.readableBytes() + content.content().readableBytes() > maxBodyBytes) {
            beginStream(context);
        }
        if (stream != null) {
            stream(context, content);
        } else if (head != null) {
            body.writeBytes(content.content());
            boolean hasFailed = content.decoderResult().isFailure();
            if (content instanceof LastHttpContent || hasFailed) {
                deliver(context, hasFailed ? content.decoderResult() : head.decoderResult());
            }
        }
    }

    private void deliver(ChannelHandlerContext context, DecoderResult result) {
        FullHttpResponse complete = new DefaultFullHttpResponse(
                head.protocolVersion(), head.status(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
        boolean isCutShort = endsWithConnection(head) && connection.isBroken();
        complete.setDecoderResult(isCutShort ? DecoderResult.UNFINISHED : result);
        HttpUtil.setTransferEncodingChunked(complete, false);
        head = null;
        body = null;
        context.fireChannelRead(complete);
    }

    private void beginStream(ChannelHandlerContext context) {
        stream = HttpUtil.getContentLength(head, 0L) > MAX_STREAMED_BYTES
                ? null
                : connection.beginStream(head, () -> context.channel().config().setAutoRead(true));
        if (stream == null) {
            head = null;
            connection.fail(ServerConnection.TOO_LARGE + "more than " + maxBodyBytes + " bytes");
            context.close();
        } else {
            write(context, body);
        }
    }

    private void stream(ChannelHandlerContext context, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            connection.markIncomplete();
            context.close();
            return;
        }
        write(context, content.content());
        boolean isCutShort = connection.isBroken() && endsWithConnection(head);
        if (content instanceof LastHttpContent && !isCutShort) {
            stream = null;
            connection.streamEnded(HttpUtil.isKeepAlive(head));
            head = null;
            context.channel().config().setAutoRead(true);
        }
    }

    private void write(ChannelHandlerContext context, ByteBuf part) {
        if (part.isReadable() && !stream.write(part)) {
            context.channel().config().setAutoRead(false);
        }
    }

    /** Whether only the end of the connection tells where the body ends (RFC 9112, section 6.3). */
    private static boolean endsWithConnection(HttpResponse head) {
        return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    }
}
