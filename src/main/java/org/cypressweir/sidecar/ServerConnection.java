package org.cypressweir.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;

/**
 * One outgoing HTTP/1.1 connection. It collects complete responses, and tells of its end exactly once.
 *
 * <p>A response belongs to a request only if nothing else was on its way when the request was written. So a
 * response is handed on when all that came with it has been read, with word on whether anything was left over; and
 * a byte that nobody asked for ends the connection.
 *
 * <p>Confined to the event loop. It connects when it is made; {@link Owner#closed} is its end.
 */
final class ServerConnection {

    /** Largest body that is collected before it goes on. */
    static final int MAX_BODY = 64 * 1024;
    /** Most that is read, decoded or written in one go. */
    static final int CHUNK = 16 * 1024;

    static final String TOO_LARGE = "an answer that is too large: ";

    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MICROS_PER_MILLI = 1000;

    /** Is told what happens on a connection, always on the event loop. */
    interface Owner {
        void opened();

        /** The last byte of the request has been handed to the network. */
        void written();

        /**
         * A complete response; the connection keeps the reference and releases it on return. Where more came than
         * the response (not clean), the connection is of no further use.
         */
        void answered(FullHttpResponse response, boolean clean);

        /**
         * A response is too large to be collected. It goes on to what this gives, null for nowhere, and the
         * connection ends; the task is to be run once more may come after there was too much.
         */
        default StreamedResponse passes(HttpResponse head, Runnable resume) {
            return null;
        }

        /** The response that was streamed is complete; see {@link #answered}. */
        default void passed(boolean clean, boolean keepAlive) {}

        /** Never came up, broke, or was closed by either side. */
        void closed();
    }

    private final Channel channel;
    private final Owner owner;
    private final ServerResponseDecoder decoder = new ServerResponseDecoder();
    private final EarlyBytes earlyBytes = new EarlyBytes();
    /** A request has been sent and its response not been handed on. */
    private boolean isAwaitingResponse;
    /** That request asks for an upgrade. */
    private boolean isUpgrading;
    /** A large request that is being sent; null for none. */
    private LargeRequestWriter largeRequest;

    private boolean isDown;
    /** It was broken by the other side, or given up by this one: what came is not known to be complete. */
    private boolean isBroken;
    /** A streamed response has become complete in this read. */
    private boolean hasStreamEnded;

    private boolean isStreamKeepAlive;
    private String failure = "connection lost";

    ServerConnection(EventLoop loop, InetSocketAddress to, int maxBody, long connectMicros, Owner owner) {
        this.owner = owner;
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / MICROS_PER_MILLI))
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, CHUNK))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new InputGate(),
                                        decoder,
                                        new HttpRequestEncoder(),
                                        new ResponseCollector(ServerConnection.this, maxBody),
                                        new ResponseHandler());
                    }
                })
                .connect(to);
        channel = connecting.channel();
        // Without a free descriptor there is no channel at all, and the failure comes on another thread. The end is
        // told by a task of its own, so never inside a call that asked for the connection or closed it.
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                executeLater(loop, this::down);
            } else if (!isDown) {
                owner.opened();
            }
        });
        // What an orderly end says of a response without other bounds comes by a task of the channel's own.
        channel.closeFuture().addListener(f -> executeLater(loop, () -> executeLater(loop, this::down)));
    }

    private static void executeLater(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private void down() {
        if (!isDown) {
            isDown = true;
            if (largeRequest != null) {
                largeRequest.release();
            }
            owner.closed();
        }
    }

    /**
     * Whether it is up and clean, seen with all that has come so far: bytes or an end that still wait in the socket
     * would be taken for the next response. Not to be called from what this connection tells its owner.
     */
    boolean usable() {
        if (!isAwaitingResponse) {
            Channels.readNow(channel);
        }
        return channel.isActive();
    }

    long waitingBytes() {
        return Channels.waitingBytes(channel);
    }

    /** Why it is down, for people. */
    String failure() {
        return failure;
    }

    void close() {
        isBroken = true;
        channel.close();
    }

    // ---- Requests

    void send(FullHttpRequest request) {
        send(request, false);
    }

    /** The same; a 101 to a request for an upgrade is a response. */
    void send(FullHttpRequest request, boolean upgrade) {
        isUpgrading = upgrade;
        isAwaitingResponse = true;
        if (request.content().readableBytes() > MAX_BODY) {
            largeRequest = new LargeRequestWriter(channel, request, this::sent);
            largeRequest.resume();
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

    /** After a 101: gives the connection away, with what came behind the response; its end is still told. */
    Upgrade.End goOver() {
        channel.config().setAutoRead(false);
        // The decoder hands on what it still holds.
        channel.pipeline().remove(decoder);
        while (channel.pipeline().first() != null) {
            channel.pipeline().removeFirst();
        }
        return new Upgrade.End(channel, earlyBytes.take());
    }

    // ---- For its handlers

    /** Whether what came is not known to be complete. */
    boolean isBroken() {
        return isBroken;
    }

    /** What comes is not known to be complete from now on. */
    void breakOff() {
        isBroken = true;
    }

    /** The same, and why. */
    void fail(String reason) {
        failure = reason;
        isBroken = true;
    }

    /** Where a response goes on to that is too large; null for nowhere. */
    StreamedResponse beginStream(HttpResponse head, Runnable resume) {
        return isAwaitingResponse ? owner.passes(head, resume) : null;
    }

    void streamEnded(boolean keepAlive) {
        decoder.messageEnded();
        isStreamKeepAlive = keepAlive;
        hasStreamEnded = true;
    }

    /** Lets nothing in that was not asked for. */
    private final class InputGate extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object bytes) {
            if (isAwaitingResponse) {
                context.fireChannelRead(bytes);
            } else {
                ReferenceCountUtil.release(bytes);
                context.close();
            }
        }
    }

    /** Hands complete responses to the owner, once all is read that came with them. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** Complete; null for none. */
        private FullHttpResponse pending;

        private boolean hasExtraInput;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                // Only behind a 101 does the decoder let bytes pass.
                earlyBytes.add(bytes);
            } else {
                super.channelRead(context, message);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            decoder.messageEnded();
            boolean isSwitching = response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
            boolean isInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            boolean isValid = response.decoderResult().isSuccess();
            if (pending != null) {
                hasExtraInput = true;
            } else if (isUpgrading && isSwitching && isValid) {
                pending = response.retain();
            } else if (isInformational && !isSwitching) {
                // One or more of them may go ahead of the response.
                return;
            } else if (!isValid || !channel.isActive() && HttpUtil.isKeepAlive(response) || isInformational) {
                // A body that only the end of the connection bounds may be cut short by a dying server: unless the
                // end was announced and is an orderly one, a response on a closed channel is not known to be
                // complete. After a change of protocol none comes.
                context.close();
            } else {
                pending = response.retain();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (largeRequest != null) {
                // A task of its own: this may come from inside a write, and the encoder can't be entered twice.
                context.channel().eventLoop().execute(largeRequest::resume);
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (hasStreamEnded) {
                hasStreamEnded = false;
                isAwaitingResponse = false;
                owner.passed(isClean(), isStreamKeepAlive);
            }
            if (pending != null) {
                FullHttpResponse response = pending;
                pending = null;
                isAwaitingResponse = false;
                try {
                    owner.answered(response, isClean());
                } finally {
                    response.release();
                }
            }
            context.fireChannelReadComplete();
        }

        /** Whether the connection can have a further request. */
        private boolean isClean() {
            return !hasExtraInput && decoder.isEmpty() && channel.isActive();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            hasExtraInput = true;
            isBroken = true;
            if (cause instanceof TooLongFrameException) {
                failure = TOO_LARGE + cause.getMessage();
            }
            context.close();
        }
    }
}
