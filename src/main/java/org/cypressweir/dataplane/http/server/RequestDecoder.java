package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes one request at a time. A head is passed to Netty's decoder only after {@link RequestHeadScanner} has accepted
 * it; pipelined bytes after a request are buffered until it was responded to.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Limit of a trailer section and of a chunk's first line; heads are limited by {@link RequestLimits}. */
    private static final int MAX_BYTES = 64 * 1024;

    private final HttpConnection connection;
    private ChannelHandlerContext context;
    private RequestHeadScanner head;
    /** Whether an empty line before the request was skipped. */
    private boolean emptyLineSkipped;

    private boolean inBody;
    /** Whether a complete request has no response yet. */
    private boolean requestPending;
    /** Whether all further bytes are discarded. */
    private boolean stopped;

    RequestDecoder(HttpConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_BYTES)
                .setMaxHeaderSize(MAX_BYTES)
                .setMaxChunkSize(MAX_BYTES)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    /** Called when the current request was responded to; decodes the next one from pipelined bytes if there are any. */
    void nextRequest() {
        requestPending = false;
        head = null;
        emptyLineSkipped = false;
        if (!context.isRemoved() && context.channel().isActive()) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    /** Discards all further bytes. */
    void stop() {
        stopped = true;
    }

    /** The number of buffered bytes after the current request. */
    int pipelinedBytes() {
        return actualReadableBytes();
    }

    /** The head of the request that is being decoded. */
    RequestHeadScanner head() {
        return head;
    }

    @Override
    protected void decode(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else if (!requestPending) {
            try {
                if (inBody) {
                    decodeBody(c, in, out);
                } else {
                    decodeHead(c, in, out);
                }
            } catch (BadRequestException e) {
                stopped = true;
                in.skipBytes(in.readableBytes());
                out.forEach(ReferenceCountUtil::release);
                out.clear();
                out.add(e);
            }
        }
    }

    private void decodeHead(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        if (head == null) {
            if (!emptyLineSkipped && in.getByte(in.readerIndex()) == '\r' && skipEmptyLine(in)) {
                return;
            }
            head = new RequestHeadScanner();
            connection.onRequestBegin();
        }
        int size = head.scan(in, connection.limits().maxHeaderBytes());
        if (size >= 0) {
            ByteBuf completeHead = in.readSlice(size);
            inBody = true;
            decodeNext(c, completeHead, out);
            if (completeHead.isReadable()) {
                throw new BadRequestException(400, "bad head");
            }
        }
    }

    /** Also checks the lines of chunks and trailers: Netty accepts some malformed ones after the last chunk. */
    private void decodeBody(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        int from = in.readerIndex();
        decodeNext(c, in, out);
        if (head.isChunked() && (out.isEmpty() || !inBody)) {
            RequestHeadScanner.checkLines(in, from, in.readerIndex());
        }
    }

    /**
     * Skips one empty line before a request, RFC 9112 section 2.2: old clients send one after a body. Returns whether
     * more bytes are needed before the head can be decoded.
     */
    private boolean skipEmptyLine(ByteBuf in) {
        if (in.readableBytes() == 1) {
            return true;
        }
        emptyLineSkipped = true;
        boolean empty = in.getByte(in.readerIndex() + 1) == '\n';
        in.skipBytes(empty ? 2 : 0);
        return empty;
    }

    private void decodeNext(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        super.decode(c, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inBody = false;
            requestPending = true;
        }
    }

    /** Emits nothing: a truncated request is not a request. */
    @Override
    protected void decodeLast(ChannelHandlerContext c, ByteBuf in, List<Object> out) {}
}
