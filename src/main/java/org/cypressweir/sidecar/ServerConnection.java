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
 * One outgoing HTTP/1.1 connection. It collects complete responses and reports its end exactly once.
 *
 * <p>A response belongs to a request only if nothing else was in transit when the request was written. So a response is
 * delivered once everything that arrived with it has been read, together with whether anything was left over; and
 * unsolicited bytes close the connection.
 *
 * <p>Confined to the event loop. It connects on construction and ends with {@link Owner#closed}.
 */
final class ServerConnection {

    /** Largest body that is buffered as a whole. */
    static final int MAX_BODY_BYTES = 64 * 1024;
    /** Most bytes that are read, decoded or written at a time. */
    static final int MAX_CHUNK_BYTES = 16 * 1024;

    static final String TOO_LARGE = "response too large: ";

    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 2_048;
    private static final int MICROS_PER_MILLI = 1000;

    /** Receives the events of a connection, always on the event loop. */
    interface Owner {
        void opened();

        /** The last byte of the request has been handed to the network. */
        void written();

        /**
         * A complete response has arrived. The connection keeps the reference and releases it on return.
         *
         * @param clean whether the connection can be used again; false if more than the response arrived
         */
        void responseReceived(FullHttpResponse response, boolean clean);

        /**
         * A response is too large to be buffered.
         *
         * @param resume to be run once the receiver can take more, after it has signalled that it is full
         * @return where the response is streamed to; null to drop it and close the connection
         */
        default StreamedResponse startStreaming(HttpResponse head, Runnable resume) {
            return null;
        }

        /** The streamed response is complete; {@code clean} as in {@link #responseReceived}. */
        default void streamCompleted(boolean clean, boolean keepAlive) {}

        /** The connection could not be opened, broke, or was closed by either side. */
        void closed();
    }

    private final Channel channel;
    private final Owner owner;
    private final ServerResponseDecoder decoder = new ServerResponseDecoder();
    private final EarlyBytes earlyBytes = new EarlyBytes();
    /** A request has been sent, and its response has not been delivered yet. */
    private boolean isAwaitingResponse;
    /** That request asks for an upgrade. */
    private boolean isUpgrading;
    /** A large request that is being sent; null for none. */
    private LargeRequestWriter largeRequest;

    private boolean hasNotifiedClosed;
    /** The other side broke the connection, or this side gave it up: what has arrived may be incomplete. */
    private boolean isBroken;
    /** The current read has completed a streamed response. */
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
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_CHUNK_BYTES))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new UnsolicitedInputFilter(),
                                        decoder,
                                        new HttpRequestEncoder(),
                                        new ResponseCollector(ServerConnection.this, maxBody),
                                        new ResponseHandler());
                    }
                })
                .connect(to);
        channel = connecting.channel();
        // Without a free file descriptor there is no channel at all, and the failure is reported on another thread. The
        // end is reported in a task of its own, so never from inside the call that opened or closed the connection.
        connecting.addListener(f -> {
            if (!f.isSuccess()) {
                executeLater(loop, this::notifyClosed);
            } else if (!hasNotifiedClosed) {
                owner.opened();
            }
        });
        // A response that is bounded only by an orderly end of the connection is delivered by a task of the channel's
        // own; the end is reported after it.
        channel.closeFuture().addListener(f -> executeLater(loop, () -> executeLater(loop, this::notifyClosed)));
    }

    private static void executeLater(EventLoop loop, Runnable task) {
        if (!loop.isShuttingDown()) {
            loop.execute(task);
        }
    }

    private void notifyClosed() {
        if (!hasNotifiedClosed) {
            hasNotifiedClosed = true;
            if (largeRequest != null) {
                largeRequest.release();
            }
            owner.closed();
        }
    }

    /**
     * Whether the connection is open and clean. First reads what the socket already holds, because bytes or an end that
     * still wait there would be taken for the next response. Must not be called from a callback to the owner.
     */
    boolean isUsable() {
        if (!isAwaitingResponse) {
            Channels.readNow(channel);
        }
        return channel.isActive();
    }

    long waitingBytes() {
        return Channels.pendingWriteBytes(channel);
    }

    /** Why the connection ended, as text for the log. */
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

    /** Sends a request. A 101 counts as a response only if the request asks for an upgrade. */
    void send(FullHttpRequest request, boolean upgrade) {
        isUpgrading = upgrade;
        isAwaitingResponse = true;
        if (request.content().readableBytes() > MAX_BODY_BYTES) {
            largeRequest = new LargeRequestWriter(channel, request, this::requestWritten);
            largeRequest.resume();
            return;
        }
        channel.writeAndFlush(request).addListener(this::requestWritten);
    }

    private void requestWritten(Future<? super Void> last) {
        if (last.isSuccess()) {
            owner.written();
        } else {
            channel.close();
        }
    }

    /**
     * After a 101: hands the channel over, with the bytes that came behind the response. The owner is still told of its
     * end.
     */
    Upgrade.UpgradedChannel detach() {
        channel.config().setAutoRead(false);
        // On its removal the decoder passes on the bytes that it still holds.
        channel.pipeline().remove(decoder);
        while (channel.pipeline().first() != null) {
            channel.pipeline().removeFirst();
        }
        return new Upgrade.UpgradedChannel(channel, earlyBytes.take());
    }

    // ---- For its handlers

    /** Whether what has arrived may be incomplete. */
    boolean isBroken() {
        return isBroken;
    }

    /** Marks what arrives as possibly incomplete from now on. */
    void markIncomplete() {
        isBroken = true;
    }

    /** Marks what arrives as possibly incomplete, for this reason. */
    void fail(String reason) {
        failure = reason;
        isBroken = true;
    }

    /** Where a response that is too large to be buffered is streamed to; null to drop it. */
    StreamedResponse beginStream(HttpResponse head, Runnable resume) {
        return isAwaitingResponse ? owner.startStreaming(head, resume) : null;
    }

    void streamEnded(boolean keepAlive) {
        decoder.messageEnded();
        isStreamKeepAlive = keepAlive;
        hasStreamEnded = true;
    }

    /** Closes the connection on input that arrives while no response is awaited. */
    private final class UnsolicitedInputFilter extends ChannelInboundHandlerAdapter {
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

    /** Delivers complete responses to the owner once everything that arrived with them has been read. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        /** A complete response that is not delivered yet; null for none. */
        private FullHttpResponse pending;

        private boolean hasExtraInput;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
            if (message instanceof ByteBuf bytes) {
                // The decoder passes raw bytes only after a 101.
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
                // One or more informational responses may precede the final one.
                return;
            } else if (!isValid || !channel.isActive() && HttpUtil.isKeepAlive(response) || isInformational) {
                // A body that is bounded only by the end of the connection may be cut short by a dying server: unless
                // the end was announced and is an orderly one, a response on a closed channel may be incomplete. An
                // unrequested 101 is a protocol switch, after which no response follows.
                context.close();
            } else {
                pending = response.retain();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (largeRequest != null) {
                // In a task of its own: this may be called from inside a write, and the encoder is not reentrant.
                context.channel().eventLoop().execute(largeRequest::resume);
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (hasStreamEnded) {
                hasStreamEnded = false;
                isAwaitingResponse = false;
                owner.streamCompleted(isClean(), isStreamKeepAlive);
            }
            if (pending != null) {
                FullHttpResponse response = pending;
                pending = null;
                isAwaitingResponse = false;
                try {
                    owner.responseReceived(response, isClean());
                } finally {
                    response.release();
                }
            }
            context.fireChannelReadComplete();
        }

        /** Whether the connection can carry another request. */
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
