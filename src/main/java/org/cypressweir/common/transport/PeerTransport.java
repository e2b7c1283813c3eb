package org.cypressweir.common.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

/**
 * Opens {@link PeerConnection}s: accepts those of other processes, and dials other processes. All callbacks run on
 * the threads of the event loop group, which the caller owns and shuts down.
 */
public final class PeerTransport {

    /** Replaces an address before it is dialled. Only tests set it, to put a relay between two processes. */
    static volatile UnaryOperator<InetSocketAddress> addressOverride = UnaryOperator.identity();

    private static final int ACCEPT_BACKLOG = 512;

    private final EventLoopGroup group;
    private final LongSupplier clockMicros;

    /** @param clockMicros a monotonic clock in microseconds */
    public PeerTransport(EventLoopGroup group, LongSupplier clockMicros) {
        this.group = group;
        this.clockMicros = clockMicros;
    }

    /**
     * Accepts connections at an address until the event loop group is shut down. It blocks until the port is
     * bound, so it must not be called on the event loop.
     *
     * @param listener notified of every accepted connection
     * @return the bound address
     * @throws IOException where the address can't be bound
     */
    public InetSocketAddress listen(InetSocketAddress address, PeerConnection.Listener listener) throws IOException {
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(listener))
                .bind(address)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            Throwable cause = bound.cause();
            throw new IOException("can't listen on " + address + ": " + cause.getMessage(), cause);
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    /**
     * Starts to dial an address and returns at once. Later either the listener is notified of the open connection, or
     * the consumer gets the cause of the failure.
     */
    public void dial(
            InetSocketAddress address,
            int timeoutMillis,
            PeerConnection.Listener listener,
            Consumer<Throwable> onFailure) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(initializer(listener))
                .connect(addressOverride.apply(address))
                .addListener(connected -> {
                    if (!connected.isSuccess()) {
                        onFailure.accept(connected.cause());
                    }
                });
    }

    private ChannelInitializer<Channel> initializer(PeerConnection.Listener listener) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                new PeerConnection(channel, clockMicros, listener).installHandlers();
            }
        };
    }
}
