package larkbank.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;

/** One outgoing HTTP/1.1 connection. It collects whole answers, and tells of its end exactly once. */
final class Link {

    /** Largest body that is passed on. */
    static final int MAX_BODY = 64 * 1024;

    /** What a link tells its owner, always on the event loop. */
    interface Owner {
        void opened();

        /** The last byte of the request has been handed to the network. */
        void written();

        /** A whole answer; the link keeps the reference and releases it on return. */
        void answered(FullHttpResponse answer);

        /** Never came up, broke, or was closed by either side. */
        void closed();
    }

    private final Channel channel;
    private final Owner owner;
    private boolean down;

    Link(EventLoop loop, InetSocketAddress to, long connectMicros, Owner owner) {
        this.owner = owner;
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / 1000))
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_BODY),
                                new Answers());
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

    /** Whether it looks alive; a FIN that has not been read yet is not seen. */
    boolean usable() {
        return channel.isActive();
    }

    void send(FullHttpRequest request) {
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

    private void down() {
        if (!down) {
            down = true;
            owner.closed();
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            if (answer.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            // A body that only the end of the connection bounds may be cut short by a dying server: on a
            // closed channel an answer is not known to be whole.
            if (answer.decoderResult().isFailure() || !channel.isActive()) {
                context.close();
            } else {
                owner.answered(answer);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
