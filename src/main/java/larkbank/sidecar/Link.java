package larkbank.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;

/**
 * One outgoing HTTP/1.1 connection. It collects whole answers, and tells of its end exactly once.
 *
 * <p>An answer belongs to a request only if nothing else was on its way when the request was written. So an
 * answer is told when all that came with it has been read, with word on whether anything was left over; and a
 * byte that nobody asked for ends the connection.
 */
final class Link {

    /** Largest body that is passed on. */
    static final int MAX_BODY = 64 * 1024;

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
    private String failure = "connection lost";

    /** Shows whether it holds a part of a further message, and takes no line of a head without a colon. */
    private static final class Decoder extends HttpResponseDecoder {
        private boolean begun;

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

    Link(EventLoop loop, InetSocketAddress to, int maxBody, long connectMicros, Owner owner) {
        this.owner = owner;
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / 1000))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new Gate(), decoder, new HttpRequestEncoder(),
                                new HttpObjectAggregator(maxBody), new Answers());
                    }
                }).connect(to);
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
        channel.closeFuture().addListener(f -> later(loop, this::down));
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
        channel.writeAndFlush(request).addListener(f -> {
            if (f.isSuccess()) {
                owner.written();
            } else {
                channel.close();
            }
        });
    }

    void close() {
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
            } else if (upgrading && answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    && answer.decoderResult().isSuccess()) {
                whole = answer.retain();
            } else if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
                    && !answer.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                // One or more of them may go ahead of the answer.
                return;
            } else if (answer.decoderResult().isFailure() || !channel.isActive()
                    || answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                // A body that only the end of the connection bounds may be cut short by a dying server: on a
                // closed channel an answer is not known to be whole. After a change of protocol none comes.
                context.close();
            } else {
                whole = answer.retain();
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
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
            if (cause instanceof TooLongFrameException) {
                failure = "an answer that is too large: " + cause.getMessage();
            }
            context.close();
        }
    }
}
