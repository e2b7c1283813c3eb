package org.cypressweir.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/**
 * One outgoing HTTP/1.1 connection. It collects whole answers, and tells of its end exactly once.
 *
 * <p>An answer belongs to a request only if nothing else was on its way when the request was written. So an
 * answer is told when all that came with it has been read, with word on whether anything was left over; and a
 * byte that nobody asked for ends the connection.
 */
final class ServerConnection {

    /** Largest body that is collected before it goes on. */
    static final int MAX_BODY = 64 * 1024;
    /** Longest body that is passed on, where its length is told. */
    private static final long MOST_PASSED = 64L * 1024 * 1024;
    /** Most that is read, decoded or written in one go. */
    static final int CHUNK = 16 * 1024;

    /** What a link tells its owner, always on the event loop. */
    interface Owner {
        void opened();

        /** The last byte of the request has been handed to the network. */
        void written();

        /**
         * A whole answer; the link keeps the reference and releases it on return. Where more came than the
         * answer (not clean), the connection is of no further use.
         */
        void answered(FullHttpResponse answer, boolean clean);

        /**
         * An answer is too large to be collected. It goes on to what this gives, null for nowhere, and the
         * link ends; the task is to be run once more may come after there was too much.
         */
        default StreamedResponse passes(HttpResponse head, Runnable resume) {
            return null;
        }

        /** The answer that was passed on has come whole; see {@link #answered}. */
        default void passed(boolean clean, boolean keepAlive) {}

        /** Never came up, broke, or was closed by either side. */
        void closed();
    }

    private final Channel channel;
    private final Owner owner;
    private final Decoder decoder = new Decoder();
    /** A request has been sent and its answer not been told. */
    private boolean asked;
    /** That request asks to go over to another protocol. */
    private boolean upgrading;

    private final Early early = new Early();
    private boolean down;
    /** It was broken by the other side, or given up by this one: what came is not known to be whole. */
    private boolean broken;

    private Feed feed;
    /** An answer that was passed on has come whole in this read. */
    private boolean passedWhole;

    private boolean passedKeepAlive;
    private String failure = "connection lost";

    /** Shows whether it holds a part of a further message, and takes no line of a head without a colon. */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean begun;

        Decoder() {
            super(new HttpDecoderConfig().setMaxChunkSize(CHUNK));
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) {
            begun = true;
            return super.createMessage(initialLine);
        }

        /** A whole message has been handed on; what is decoded from now on is another. */
        void ended() {
            begun = false;
        }

        boolean isEmpty() {
            return !begun && actualReadableBytes() == 0;
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

    ServerConnection(EventLoop loop, InetSocketAddress to, int maxBody, long connectMicros, Owner owner) {
        this.owner = owner;
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / 1000))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(256, 2_048, CHUNK))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new Gate(),
                                        decoder,
                                        new HttpRequestEncoder(),
                                        new Collector(maxBody),
                                        new Answers());
                    }
                })
                .connect(to);
        channel = connecting.channel();
        // Without a free descriptor there is no channel at all, and the failure comes on another thread. The
        // end is told by a task of its own, so never inside a call that asked for the link or closed it.
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                later(loop, this::down);
            } else if (!down) {
                owner.opened();
            }
        });
        // What an orderly end says of an answer without other bounds comes by a task of the channel's own.
        channel.closeFuture().addListener(f -> later(loop, () -> later(loop, this::down)));
    }

    private static void later(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    /**
     * Whether it is up and clean, seen with all that has come so far: bytes or an end that still wait in the
     * socket would be taken for the next answer. Not to be called from what this link tells.
     */
    boolean usable() {
        if (!asked) {
            readNow(channel);
        }
        return channel.isActive();
    }

    /** Takes in what the kernel holds for a channel: bytes of a connection, or connections of a door. */
    static void readNow(Channel channel) {
        if (channel.isActive() && channel instanceof AbstractNioChannel nio) {
            nio.unsafe().read();
        }
    }

    void send(FullHttpRequest request) {
        send(request, false);
    }

    /** The same; a 101 to a request for an upgrade is an answer. */
    void send(FullHttpRequest request, boolean upgrade) {
        upgrading = upgrade;
        asked = true;
        if (request.content().readableBytes() > MAX_BODY) {
            feed = new Feed(request);
            feed.goOn();
            return;
        }
        channel.writeAndFlush(request).addListener(this::sent);
    }

    private void sent(Future<? super Void> last) {
        if (last.isSuccess()) {
            owner.written();
        } else {
            channel.close();
        }
    }

    /**
     * A large request, as fast as the server takes it: what waits to be written is memory of this
     * process.
     */
    private final class Feed {
        private ByteBuf rest;

        Feed(FullHttpRequest request) {
            rest = request.content();
            channel.write(new DefaultHttpRequest(
                    request.protocolVersion(), request.method(), request.uri(), request.headers()));
        }

        void goOn() {
            while (rest != null && channel.isActive() && channel.isWritable()) {
                ByteBuf part = rest.readRetainedSlice(Math.min(CHUNK, rest.readableBytes()));
                if (rest.isReadable()) {
                    channel.write(new DefaultHttpContent(part));
                } else {
                    end();
                    channel.write(new DefaultLastHttpContent(part)).addListener(ServerConnection.this::sent);
                }
            }
            channel.flush();
        }

        void end() {
            if (rest != null) {
                rest.release();
                rest = null;
            }
        }
    }

    void close() {
        broken = true;
        channel.close();
    }

    /** After a 101: gives the connection away, with what came behind the answer; its end is still told. */
    Upgrade.End goOver() {
        channel.config().setAutoRead(false);
        // The decoder hands on what it still holds.
        channel.pipeline().remove(decoder);
        while (channel.pipeline().first() != null) {
            channel.pipeline().removeFirst();
        }
        return new Upgrade.End(channel, early.take());
    }

    long waitingBytes() {
        return waitingBytes(channel);
    }

    /** Bytes that a connection's owner has written and the socket has not taken. */
    static long waitingBytes(Channel channel) {
        ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** Why it is down, for people. */
    String failure() {
        return failure;
    }

    private void down() {
        if (!down) {
            down = true;
            if (feed != null) {
                feed.end();
            }
            owner.closed();
        }
    }

    /** Lets nothing in that was not asked for. */
    private final class Gate extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (asked) {
                context.fireChannelRead(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
                context.close();
            }
        }
    }

    /** Collects what comes behind a handshake until its connection has gone over. */
    static final class Early {
        private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

        /** Takes the buffer over. */
        void add(ByteBuf more) {
            bytes = bytes == Unpooled.EMPTY_BUFFER ? Unpooled.buffer() : bytes;
            bytes.writeBytes(more);
            more.release();
        }

        int size() {
            return bytes.readableBytes();
        }

        ByteBuf take() {
            ByteBuf taken = bytes;
            bytes = Unpooled.EMPTY_BUFFER;
            return taken;
        }
    }

    /** Collects answers up to a bound; what is larger goes on as it comes, if its owner wants that. */
    private final class Collector extends ChannelInboundHandlerAdapter {
        private final int most;
        private HttpResponse head;
        private ByteBuf body;
        private StreamedResponse passing;

        Collector(int most) {
            this.most = most;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof HttpObject)) {
                context.fireChannelRead(message);
                return;
            }
            try {
                if (message instanceof HttpResponse response) {
                    head = response;
                    body = Unpooled.buffer(256);
                    if (response.decoderResult().isFailure()) {
                        hand(context, response.decoderResult());
                    } else if (HttpUtil.getContentLength(response, -1L) > most) {
                        passOn(context);
                    }
                }
                if (head != null && message instanceof HttpContent content) {
                    take(context, content);
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        private void take(ChannelHandlerContext context, HttpContent content) {
            if (passing == null && body.readableBytes() + content.content().readableBytes() > most) {
                passOn(context);
            }
            if (passing != null) {
                passOn(context, content);
            } else if (head != null) {
                body.writeBytes(content.content());
                if (content instanceof LastHttpContent
                        || content.decoderResult().isFailure()) {
                    hand(context, content.decoderResult().isFailure() ? content.decoderResult() : head.decoderResult());
                }
            }
        }

        private void hand(ChannelHandlerContext context, DecoderResult result) {
            FullHttpResponse whole = new DefaultFullHttpResponse(
                    head.protocolVersion(), head.status(), body, head.headers(), EmptyHttpHeaders.INSTANCE);
            boolean unbounded = unbounded(head);
            whole.setDecoderResult(unbounded && broken ? DecoderResult.UNFINISHED : result);
            HttpUtil.setTransferEncodingChunked(whole, false);
            head = null;
            body = null;
            context.fireChannelRead(whole);
        }

        private void passOn(ChannelHandlerContext context) {
            passing = HttpUtil.getContentLength(head, 0L) > MOST_PASSED || !asked
                    ? null
                    : owner.passes(head, () -> context.channel().config().setAutoRead(true));
            if (passing == null) {
                failure = "an answer that is too large: more than " + most + " bytes";
                head = null;
                broken = true;
                context.close();
            } else {
                pass(context, body);
            }
        }

        private void pass(ChannelHandlerContext context, ByteBuf part) {
            if (part.isReadable() && !passing.more(part)) {
                context.channel().config().setAutoRead(false);
            }
        }

        private void passOn(ChannelHandlerContext context, HttpContent content) {
            if (content.decoderResult().isFailure()) {
                broken = true;
                context.close();
                return;
            }
            pass(context, content.content());
            if (content instanceof LastHttpContent && !(broken && unbounded(head))) {
                decoder.ended();
                passing = null;
                passedKeepAlive = HttpUtil.isKeepAlive(head);
                passedWhole = true;
                head = null;
                context.channel().config().setAutoRead(true);
            }
        }
    }

    /** Only the end of the connection says where such a body ends. */
    private static boolean unbounded(HttpResponse head) {
        return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** Whole, and told once all is read that came with it. */
        private FullHttpResponse whole;

        private boolean more;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf raw) {
                // Only behind a 101 does the decoder let bytes pass.
                early.add(raw);
            } else {
                super.channelRead(context, message);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            decoder.ended();
            if (whole != null) {
                more = true;
            } else if (upgrading
                    && answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    && answer.decoderResult().isSuccess()) {
                whole = answer.retain();
            } else if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                // One or more of them may go ahead of the answer.
                return;
            } else if (!answer.decoderResult().isSuccess()
                    || !channel.isActive() && HttpUtil.isKeepAlive(answer)
                    || answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // A body that only the end of the connection bounds may be cut short by a dying server:
                // unless the end was announced and is an orderly one, an answer on a closed channel is not
                // known to be whole. After a change of protocol none comes.
                context.close();
            } else {
                whole = answer.retain();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (feed != null) {
                // A task of its own: this may come from inside a write, and the encoder can't be entered
                // twice.
                context.channel().eventLoop().execute(feed::goOn);
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (passedWhole) {
                passedWhole = false;
                asked = false;
                owner.passed(!more && decoder.isEmpty() && channel.isActive(), passedKeepAlive);
            }
            if (whole != null) {
                FullHttpResponse answer = whole;
                whole = null;
                asked = false;
                try {
                    owner.answered(answer, !more && decoder.isEmpty() && channel.isActive());
                } finally {
                    answer.release();
                }
            }
            context.fireChannelReadComplete();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            more = true;
            broken = true;
            if (cause instanceof TooLongFrameException) {
                failure = "an answer that is too large: " + cause.getMessage();
            }
            context.close();
        }
    }
}
