package org.cypressweir.sidecar;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * The admin listener: each connection carries one command line and its response. An idle connection costs a file
 * descriptor, so their number is limited; the oldest one is closed first.
 */
final class AdminListener {

    /** Maximum number of connections at once; the listening socket takes one more descriptor. */
    static final int MAX_CONNECTIONS = 15;

    private static final int MAX_LINE_BYTES = 256;
    /** A connection without a complete line, or whose response is not read, is closed after this time. */
    private static final long CONNECTION_TIMEOUT_MILLIS = 10_000;

    private final EventLoop loop;
    private final UnaryOperator<String> commandHandler;
    private Channel listening;
    private HttpConnectionHandler httpHandler;
    private final ArrayDeque<Channel> connections = new ArrayDeque<>();

    AdminListener(EventLoop loop, UnaryOperator<String> commandHandler) {
        this.loop = loop;
        this.commandHandler = commandHandler;
    }

    /** Takes over connections that speak HTTP. */
    interface HttpConnectionHandler {
        void take(Channel listeningChannel, Channel connection, ByteBuf first);
    }

    /** Hands HTTP connections to this handler from now on; with null they are rejected. */
    void setHttpHandler(HttpConnectionHandler handler) {
        httpHandler = handler;
    }

    /** The listening address. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Opens the listener; completes once operators can connect. */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress address) {
        CompletableFuture<InetSocketAddress> open = new CompletableFuture<>();
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new CommandHandler());
                    }
                })
                .bind(address);
        listening = bound.channel();
        bound.addListener(f -> {
            if (f.isSuccess()) {
                open.complete((InetSocketAddress) bound.channel().localAddress());
            } else {
                open.completeExceptionally(f.cause());
            }
        });
        return open;
    }

    /** Reads the first line and responds; anything after it is ignored. */
    private final class CommandHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder line = new StringBuilder();
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (connections.size() >= MAX_CONNECTIONS) {
                connections.pollFirst().close();
            }
            Channel channel = context.channel();
            connections.addLast(channel);
            channel.closeFuture().addListener(f -> connections.remove(channel));
            loop.schedule(
                    () -> {
                        if (connections.contains(channel)) {
                            channel.close();
                        }
                    },
                    CONNECTION_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            if (answered) {
                return;
            }
            if (httpHandler != null && line.length() == 0 && isHttp(bytes)) {
                answered = true;
                handOver(context, bytes.retain());
                return;
            }
            int end = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n');
            int length = (end < 0 ? bytes.writerIndex() : end) - bytes.readerIndex();
            if (line.length() + length > MAX_LINE_BYTES) {
                answer(context, "NO the line is longer than " + MAX_LINE_BYTES + " bytes");
                return;
            }
            line.append(bytes.readCharSequence(length, StandardCharsets.US_ASCII));
            if (end >= 0) {
                answer(context, commandHandler.apply(line.toString()));
            }
        }

        /** No admin command begins with a method and a path. */
        private static boolean isHttp(ByteBuf bytes) {
            String head =
                    bytes.toString(bytes.readerIndex(), Math.min(6, bytes.readableBytes()), StandardCharsets.US_ASCII);
            return head.startsWith("GET /") || head.startsWith("POST /");
        }

        private void handOver(ChannelHandlerContext context, ByteBuf first) {
            Channel connection = context.channel();
            HttpConnectionHandler handler = httpHandler;
            connections.remove(connection);
            connection.config().setAutoRead(false);
            context.pipeline().remove(this);
            connection.deregister().addListener(f -> handler.take(listening, connection, first));
        }

        /**
         * Closes only the output and leaves the rest to the caller: with input unread, closing would reset the
         * connection, and the response could be lost.
         */
        private void answer(ChannelHandlerContext context, String text) {
            answered = true;
            context.writeAndFlush(Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8))
                    .addListener(f -> ((SocketChannel) context.channel()).shutdownOutput());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
