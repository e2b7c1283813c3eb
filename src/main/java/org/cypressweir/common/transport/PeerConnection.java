package org.cypressweir.common.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** One connection between two processes of the mesh; it carries parcels: an object each, and a body. */
public final class PeerConnection {

    /** What its owner is told. */
    public interface Ear {
        void opened(PeerConnection line);

        void heard(PeerConnection line, Map<String, Object> head, byte[] body);

        void closed(PeerConnection line);
    }

    private static final int MOST = 80 * 1024 * 1024;
    private static final byte[] NOTHING = {};
    private static final Map<String, Object> PING = Map.of("t", "ping");
    private static final Map<String, Object> PONG = Map.of("t", "pong");

    private final Channel channel;
    private final LongSupplier micros;
    private final Ear ear;
    private long heardAt;
    private long sentAt;
    private Object owner;
    private boolean opened;

    PeerConnection(Channel channel, LongSupplier micros, Ear ear) {
        this.channel = channel;
        this.micros = micros;
        this.ear = ear;
        heardAt = micros.getAsLong();
        sentAt = heardAt;
    }

    /** Takes the channel over. */
    void take() {
        channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MOST, 0, 4, 0, 4), new Reader());
    }

    public void send(Map<String, ?> head) {
        send(head, NOTHING, null);
    }

    /** @param written told whether the whole parcel was handed to the system; if not, nobody ever reads it */
    public void send(Map<String, ?> head, byte[] body, Consumer<Boolean> written) {
        write(JsonCodec.bytes(head), body, written);
    }

    /** Sends what {@link JsonCodec#bytes} has made, once for many lines. */
    public void sendText(byte[] text) {
        write(text, NOTHING, null);
    }

    private void write(byte[] text, byte[] body, Consumer<Boolean> written) {
        sentAt = micros.getAsLong();
        ByteBuf out = Unpooled.buffer(8 + text.length + body.length);
        out.writeInt(4 + text.length + body.length)
                .writeInt(text.length)
                .writeBytes(text)
                .writeBytes(body);
        var sent = channel.writeAndFlush(out);
        if (written != null) {
            sent.addListener(f -> written.accept(f.isSuccess()));
        }
    }

    public void ping() {
        send(PING);
    }

    /** When something came from the other side the last time. */
    public long heardAt() {
        return heardAt;
    }

    /** When something was sent the last time: the other side hears nothing else of this one. */
    public long sentAt() {
        return sentAt;
    }

    public boolean isOpen() {
        return channel.isActive();
    }

    /** Bytes that wait here to be sent. */
    public long waiting() {
        return channel.unsafe().outboundBuffer() == null
                ? 0
                : channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }

    public void close() {
        channel.close();
    }

    /** Whatever its owner keeps with it. */
    public Object owner() {
        return owner;
    }

    public void owner(Object its) {
        owner = its;
    }

    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }

    private final class Reader extends ChannelInboundHandlerAdapter {

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            if (context.channel().isActive()) {
                open();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            open();
        }

        private void open() {
            if (!opened) {
                opened = true;
                heardAt = micros.getAsLong();
                ear.opened(PeerConnection.this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            ByteBuf frame = (ByteBuf) message;
            try {
                heardAt = micros.getAsLong();
                int length = frame.readableBytes() < 4 ? -1 : frame.readInt();
                if (length < 0 || length > frame.readableBytes()) {
                    throw new IOException("a parcel whose length is wrong");
                }
                byte[] text = new byte[length];
                frame.readBytes(text);
                byte[] body = frame.isReadable() ? new byte[frame.readableBytes()] : NOTHING;
                frame.readBytes(body);
                heard(JsonCodec.read(text, 0, length), body);
            } finally {
                frame.release();
            }
        }

        private void heard(Map<String, Object> head, byte[] body) {
            switch (JsonCodec.text(head, "t")) {
                case "ping" -> send(PONG);
                case "pong" -> {}
                default -> ear.heard(PeerConnection.this, head, body);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (opened) {
                ear.closed(PeerConnection.this);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                org.jboss.logging.Logger.getLogger(PeerConnection.class).warn("A line ends: " + cause);
            }
            context.close();
        }
    }
}
