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
 * Decodes one request at a time: a head goes to the library's decoder once it was found to be sound, and
 * what comes behind a request stays here until that one was answered.
 */
final class RequestDecoder extends HttpRequestDecoder {

    /** Most that a trailer or the line of a chunk takes. */
    private static final int LONGEST = 64 * 1024;

    private final HttpConnection connection;
    private ChannelHandlerContext context;
    private RequestHeadScanner head;
    /** An empty line came before it. */
    private boolean blank;

    private boolean inBody;
    /** A request is in hand. */
    private boolean holds;
    /** Nothing that comes counts any more. */
    private boolean stopped;

    RequestDecoder(HttpConnection connection) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(LONGEST)
                .setMaxHeaderSize(LONGEST)
                .setMaxChunkSize(LONGEST)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true));
        this.connection = connection;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) throws Exception {
        context = added;
        super.handlerAdded(added);
    }

    /** The request in hand was answered, the next may come. */
    void proceed() {
        holds = false;
        head = null;
        blank = false;
        if (!context.isRemoved() && context.channel().isActive()) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    void stop() {
        stopped = true;
    }

    /** Bytes that came behind the request in hand. */
    int waiting() {
        return actualReadableBytes();
    }

    /** The head of the request that is being read. */
    RequestHeadScanner head() {
        return head;
    }

    @Override
    protected void decode(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        if (stopped) {
            in.skipBytes(in.readableBytes());
        } else if (!holds) {
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
            if (!blank && in.getByte(in.readerIndex()) == '\r' && skipBlank(in)) {
                return;
            }
            head = new RequestHeadScanner();
            connection.begins();
        }
        int size = head.scan(in, connection.bounds().maxHeaderBytes());
        if (size >= 0) {
            ByteBuf whole = in.readSlice(size);
            inBody = true;
            decodeSome(c, whole, out);
            if (whole.isReadable()) {
                throw new BadRequestException(400, "bad head");
            }
        }
    }

    /** The library looks after chunks well, but lets some lines behind the last one pass. */
    private void decodeBody(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        int from = in.readerIndex();
        decodeSome(c, in, out);
        if (head.isChunked() && (out.isEmpty() || !inBody)) {
            RequestHeadScanner.checkLines(in, from, in.readerIndex());
        }
    }

    /**
     * One empty line before a request counts for nothing: old clients end a body so. Whether there is nothing
     * else to look at yet.
     */
    private boolean skipBlank(ByteBuf in) {
        if (in.readableBytes() == 1) {
            return true;
        }
        blank = true;
        boolean empty = in.getByte(in.readerIndex() + 1) == '\n';
        in.skipBytes(empty ? 2 : 0);
        return empty;
    }

    private void decodeSome(ChannelHandlerContext c, ByteBuf in, List<Object> out) throws Exception {
        super.decode(c, in, out);
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            inBody = false;
            holds = true;
        }
    }

    /** A request that breaks off is none. */
    @Override
    protected void decodeLast(ChannelHandlerContext c, ByteBuf in, List<Object> out) {}
}
