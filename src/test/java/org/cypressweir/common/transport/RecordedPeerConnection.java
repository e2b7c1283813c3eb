package org.cypressweir.common.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A connection without a network, at a fixed time, that records the sent frames. Not thread-safe. */
public final class RecordedPeerConnection {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerConnection connection;

    public RecordedPeerConnection(long nowMicros, PeerConnection.Listener listener) {
        connection = new PeerConnection(channel, () -> nowMicros, listener);
        connection.installHandlers();
    }

    /** A connection with a listener that ignores all events. */
    public RecordedPeerConnection(long nowMicros) {
        this(nowMicros, new PeerConnection.Listener() {
            @Override
            public void opened(PeerConnection connection) {}

            @Override
            public void received(PeerConnection from, Map<String, Object> header, byte[] body) {}

            @Override
            public void closed(PeerConnection connection) {}
        });
    }

    public PeerConnection connection() {
        return connection;
    }

    /** Delivers bytes as if they came from the peer. */
    public void receive(byte[] frame) {
        channel.writeInbound(Unpooled.wrappedBuffer(frame));
    }

    /** Frames sent since the last call, as hex digits. */
    public List<String> takeFrames() {
        List<String> frames = new ArrayList<>();
        for (ByteBuf frame = channel.readOutbound(); frame != null; frame = channel.readOutbound()) {
            frames.add(ByteBufUtil.hexDump(frame));
            frame.release();
        }
        return frames;
    }

    /** Messages sent since the last call: the JSON text of the header, followed by the body if there is one. */
    public List<String> takeMessages() {
        List<String> messages = new ArrayList<>();
        for (String frame : takeFrames()) {
            ByteBuf bytes = Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(frame));
            bytes.readInt();
            String header = bytes.readCharSequence(bytes.readInt(), StandardCharsets.UTF_8)
                    .toString();
            String body = bytes.toString(StandardCharsets.UTF_8);
            messages.add(body.isEmpty() ? header : header + " + " + body);
        }
        return messages;
    }

    /** Parses the JSON text of a header. */
    public static Map<String, Object> header(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        try {
            return JsonCodec.read(bytes, 0, bytes.length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
