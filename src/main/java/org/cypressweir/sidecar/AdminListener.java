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
 * Where operators connect: one line a connection, and its answer. Callers that hold a connection and ask
 * nothing cost a descriptor each, so only so many are kept; the one that came first goes first.
 */
final class AdminListener {

    /** Callers at once; the door's own descriptor comes on top. */
    static final int CALLERS = 15;

    private static final int LONGEST_LINE = 256;
    /** A caller that has said nothing whole for so long, or does not take its answer, is let go. */
    private static final long PATIENCE_MILLIS = 10_000;

    private final EventLoop loop;
    private final UnaryOperator<String> desk;
    private Channel listening;
    private Lending lending;
    private final ArrayDeque<Channel> callers = new ArrayDeque<>();

    AdminListener(EventLoop loop, UnaryOperator<String> desk) {
        this.loop = loop;
        this.desk = desk;
    }

    /** Takes connections over that speak HTTP, while somebody wants them. */
    interface Lending {
        void take(Channel door, Channel connection, ByteBuf first);
    }

    /** From now on connections that speak HTTP are lent to this one; null for none, and they are refused. */
    void lend(Lending to) {
        lending = to;
    }

    /** Where it listens. */
    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Opens; done once operators can connect. */
    CompletableFuture<InetSocketAddress> listen(InetSocketAddress address) {
        CompletableFuture<InetSocketAddress> open = new CompletableFuture<>();
        ChannelFuture bound = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new Caller());
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

    /** Reads up to the first line's end and answers; nothing behind it counts. */
    private final class Caller extends SimpleChannelInboundHandler<ByteBuf> {
        private final StringBuilder line = new StringBuilder();
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (callers.size() >= CALLERS) {
                callers.pollFirst().close();
            }
            Channel channel = context.channel();
            callers.addLast(channel);
            channel.closeFuture().addListener(f -> callers.remove(channel));
            loop.schedule(
                    () -> {
                        if (callers.contains(channel)) {
                            channel.close();
                        }
                    },
                    PATIENCE_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            if (answered) {
                return;
            }
            if (lending != null && line.length() == 0 && speaksHttp(bytes)) {
                answered = true;
                lendOut(context, bytes.retain());
                return;
            }
            int end = bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), (byte) '\n');
            int length = (end < 0 ? bytes.writerIndex() : end) - bytes.readerIndex();
            if (line.length() + length > LONGEST_LINE) {
                answer(context, "NO the line is longer than " + LONGEST_LINE + " bytes");
                return;
            }
            line.append(bytes.readCharSequence(length, StandardCharsets.US_ASCII));
            if (end >= 0) {
                answer(context, desk.apply(line.toString()));
            }
        }

        /** No call of operators begins with a method and a path. */
        private static boolean speaksHttp(ByteBuf bytes) {
            String head =
                    bytes.toString(bytes.readerIndex(), Math.min(6, bytes.readableBytes()), StandardCharsets.US_ASCII);
            return head.startsWith("GET /") || head.startsWith("POST /");
        }

        private void lendOut(ChannelHandlerContext context, ByteBuf first) {
            Channel connection = context.channel();
            Lending to = lending;
            callers.remove(connection);
            connection.config().setAutoRead(false);
            context.pipeline().remove(this);
            connection.deregister().addListener(f -> to.take(listening, connection, first));
        }

        /** The end is the caller's to make, lest what it has sent behind the line take the answer along. */
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
