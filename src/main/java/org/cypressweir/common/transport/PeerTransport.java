package org.cypressweir.common.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
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

/** Where lines begin: it listens for them and dials them. */
public final class PeerTransport {

    /** Where a line to an address is dialled in its place. No setting leads here: the tests' rig has cuts. */
    static volatile UnaryOperator<InetSocketAddress> detour = UnaryOperator.identity();

    private final EventLoopGroup group;
    private final LongSupplier micros;

    public PeerTransport(EventLoopGroup group, LongSupplier micros) {
        this.group = group;
        this.micros = micros;
    }

    /** Lines that others open are told to this ear. Not for the loop: it waits until the port is taken. */
    public InetSocketAddress listen(InetSocketAddress at, PeerConnection.Ear ear) throws IOException {
        var bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(lines(ear))
                .bind(at)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("can't listen on " + at + ": " + bound.cause().getMessage(), bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private ChannelInitializer<Channel> lines(PeerConnection.Ear ear) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                new PeerConnection(channel, micros, ear).take();
            }
        };
    }

    /** Opens a line; the ear hears of it if it comes up, and the consumer why not if it doesn't. */
    public void dial(InetSocketAddress to, int timeoutMillis, PeerConnection.Ear ear, Consumer<Throwable> failed) {
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
                .handler(lines(ear))
                .connect(detour.apply(to))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        failed.accept(f.cause());
                    }
                });
    }
}
