package org.cypressweir.fleet.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;
import org.cypressweir.fleet.membership.MembershipMessage;

/** The UDP socket of one process: encodes, decodes and counts datagrams. Confined to the event loop. */
final class UdpTransport {

    /** Size of the kernel's buffer, which holds datagrams while the loop is busy or the process is paused. */
    private static final int RECEIVE_BUFFER_BYTES = 512 << 10;

    /** Receives the messages that could be decoded. */
    interface Receiver {
        void receive(MembershipMessage message) throws MembershipMessageCodec.Dropped;
    }

    private final EventLoop loop;
    private final MembershipMessageCodec codec;
    private final Receiver receiver;
    private final Consumer<String> log;
    private final Map<MembershipMessageCodec.Fault, Long> droppedDatagrams =
            new EnumMap<>(MembershipMessageCodec.Fault.class);
    /** Null until the socket is bound. */
    private Channel channel;

    private long sentDatagrams;
    private long sentBytes;
    private long receivedDatagrams;

    UdpTransport(EventLoop loop, String cluster, Receiver receiver, Consumer<String> log) {
        this.loop = loop;
        this.receiver = receiver;
        this.log = log;
        codec = new MembershipMessageCodec(cluster);
    }

    ChannelFuture bind(InetSocketAddress address) {
        // One byte more than allowed, so that a longer datagram is recognized.
        int readBytes = MembershipMessageCodec.MAX_DATAGRAM_BYTES + 1;
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(readBytes))
                .handler(new DatagramHandler())
                .bind(address);
        binding.addListener(bound -> {
            if (bound.isSuccess()) {
                channel = binding.channel();
            }
        });
        return binding;
    }

    boolean isOpen() {
        return channel != null && channel.isOpen();
    }

    void close() {
        channel.close();
    }

    /** Sends a message; does nothing before the socket is bound, or if the message is too long. */
    void send(InetSocketAddress to, MembershipMessage message) {
        byte[] bytes = codec.write(message);
        if (channel != null && bytes.length <= MembershipMessageCodec.MAX_DATAGRAM_BYTES) {
            sentDatagrams++;
            sentBytes += bytes.length;
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), to), channel.voidPromise());
        }
    }

    long sentDatagrams() {
        return sentDatagrams;
    }

    long sentBytes() {
        return sentBytes;
    }

    long receivedDatagrams() {
        return receivedDatagrams;
    }

    Map<MembershipMessageCodec.Fault, Long> droppedDatagrams() {
        return droppedDatagrams;
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            receivedDatagrams++;
            try {
                receiver.receive(codec.read(ByteBufUtil.getBytes(packet.content())));
            } catch (MembershipMessageCodec.Dropped dropped) {
                droppedDatagrams.merge(dropped.fault(), 1L, Long::sum);
            }
        }

        /** Ignores I/O errors: they mean that no process listens at a peer's address, and equal a missing response. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.accept("membership: " + cause);
            }
        }
    }
}
