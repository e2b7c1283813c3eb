package org.cypressweir.common.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/**
 * One TCP connection between two processes of the mesh, which carries messages: a header (a JSON object) and an
 * optional body of raw bytes. Messages arrive in the order in which they were sent, or not at all.
 *
 * <p>Pings are answered here and are not passed to the listener. A connection does not close itself when the
 * peer is unresponsive; see {@link PeerConnectionPool}.
 *
 * <p>To be used on the event loop of its channel only.
 */
public final class PeerConnection {

    /** Notified of the events of a connection, on the event loop of its channel. */
    public interface Listener {
        void opened(PeerConnection connection);

        void received(PeerConnection connection, Map<String, Object> header, byte[] body);

        /** The connection is closed; it is called only after {@link #opened}. */
        void closed(PeerConnection connection);
    }

    private static final Logger LOG = Logger.getLogger(PeerConnection.class);

    private static final int MAX_FRAME_BYTES = 80 * 1024 * 1024;
    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final byte[] NO_BODY = {};

    /** The header field that names the message. The text is fixed on the wire. */
    private static final String TYPE_FIELD = "t";

    private static final String PING_TYPE = "ping";
    private static final String PONG_TYPE = "pong";
    private static final Map<String, Object> PING = Map.of(TYPE_FIELD, PING_TYPE);
    private static final Map<String, Object> PONG = Map.of(TYPE_FIELD, PONG_TYPE);

    private final Channel channel;
    private final LongSupplier clockMicros;
    private final Listener listener;
    private long lastReceivedMicros;
    private long lastSentMicros;
    private Object attachment;
    private boolean opened;

    PeerConnection(Channel channel, LongSupplier clockMicros, Listener listener) {
        this.channel = channel;
        this.clockMicros = clockMicros;
        this.listener = listener;
        lastReceivedMicros = clockMicros.getAsLong();
        lastSentMicros = lastReceivedMicros;
    }

    /** Adds the frame decoder and the message handler to the pipeline; to be called once. */
    void installHandlers() {
        channel.pipeline()
                .addLast(
                        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                        new MessageHandler());
    }

    /** Sends a message without a body. */
    public void send(Map<String, ?> header) {
        send(header, NO_BODY, null);
    }

    /**
     * Sends a message.
     *
     * @param onWritten notified whether the complete message was written to the socket; if not, the peer never
     *     reads it. May be null
     */
    public void send(Map<String, ?> header, byte[] body, Consumer<Boolean> onWritten) {
        write(JsonCodec.bytes(header), body, onWritten);
    }

    /** Sends a header that {@link JsonCodec#bytes} has encoded, so that it is encoded once for many connections. */
    public void sendEncoded(byte[] header) {
        write(header, NO_BODY, null);
    }

    private void write(byte[] header, byte[] body, Consumer<Boolean> onWritten) {
        lastSentMicros = clockMicros.getAsLong();
        int frameLength = LENGTH_BYTES + header.length + body.length;
        ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + frameLength);
        frame.writeInt(frameLength);
        frame.writeInt(header.length);
        frame.writeBytes(header);
        frame.writeBytes(body);
        ChannelFuture written = channel.writeAndFlush(frame);
        if (onWritten != null) {
            written.addListener(result -> onWritten.accept(result.isSuccess()));
        }
    }

    /** Sends a ping, which the peer answers. */
    public void ping() {
        send(PING);
    }

    /** When the last message arrived from the peer, pings included; before the first one, when this was opened. */
    public long lastReceivedMicros() {
        return lastReceivedMicros;
    }

    /** When the last message was sent to the peer. */
    public long lastSentMicros() {
        return lastSentMicros;
    }

    public boolean isOpen() {
        return channel.isActive();
    }

    /** Bytes that are queued here and not yet written to the socket. */
    public long pendingWriteBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    public void close() {
        channel.close();
    }

    /** The object that the user of this connection has attached to it; null at first. */
    public Object attachment() {
        return attachment;
    }

    public void attach(Object newAttachment) {
        attachment = newAttachment;
    }

    @Override
    public String toString() {
        return String.valueOf(channel.remoteAddress());
    }

    /** Decodes frames into messages, answers pings and passes all other messages to the listener. */
    private final class MessageHandler extends ChannelInboundHandlerAdapter {

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
                lastReceivedMicros = clockMicros.getAsLong();
                listener.opened(PeerConnection.this);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            ByteBuf frame = (ByteBuf) message;
            try {
                lastReceivedMicros = clockMicros.getAsLong();
                byte[] header = readHeader(frame);
                byte[] body = readBody(frame);
                received(JsonCodec.read(header, 0, header.length), body);
            } finally {
                frame.release();
            }
        }

        private static byte[] readHeader(ByteBuf frame) throws IOException {
            int length = frame.readableBytes() < LENGTH_BYTES ? -1 : frame.readInt();
            if (length < 0 || length > frame.readableBytes()) {
                throw new IOException("malformed frame: invalid header length");
            }
            byte[] header = new byte[length];
            frame.readBytes(header);
            return header;
        }

        private static byte[] readBody(ByteBuf frame) {
            if (!frame.isReadable()) {
                return NO_BODY;
            }
            byte[] body = new byte[frame.readableBytes()];
            frame.readBytes(body);
            return body;
        }

        private void received(Map<String, Object> header, byte[] body) {
            switch (JsonCodec.text(header, TYPE_FIELD)) {
                case PING_TYPE -> send(PONG);
                case PONG_TYPE -> {
                    // The time of its arrival is recorded already, and it carries nothing else.
                }
                default -> listener.received(PeerConnection.this, header, body);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (opened) {
                listener.closed(PeerConnection.this);
            }
        }

        /** Closes the connection. An I/O error is an ordinary cause and is not logged; all else is a fault. */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.warnf("Peer connection closed remote=%s cause=%s", PeerConnection.this, cause);
            }
            context.close();
        }
    }
}
