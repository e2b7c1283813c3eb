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

/** A line without a network, at a fixed time: what is sent on it is kept. For one thread. */
public final class RecordedPeerConnection {

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final PeerConnection line;

    public RecordedPeerConnection(long nowMicros, PeerConnection.Ear ear) {
        line = new PeerConnection(channel, () -> nowMicros, ear);
        line.take();
    }

    /** A line whose owner is told nothing. */
    public RecordedPeerConnection(long nowMicros) {
        this(nowMicros, new PeerConnection.Ear() {
            @Override
            public void opened(PeerConnection opened) {}

            @Override
            public void heard(PeerConnection from, Map<String, Object> head, byte[] body) {}

            @Override
            public void closed(PeerConnection closed) {}
        });
    }

    public PeerConnection line() {
        return line;
    }

    /** Bytes come from the other side. */
    public void receives(byte[] frame) {
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

    /** Messages sent since the last call: the JSON text, and behind it the body where there is one. */
    public List<String> takeMessages() {
        List<String> messages = new ArrayList<>();
        for (String frame : takeFrames()) {
            ByteBuf bytes = Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(frame));
            bytes.readInt();
            String head = bytes.readCharSequence(bytes.readInt(), StandardCharsets.UTF_8)
                    .toString();
            String body = bytes.toString(StandardCharsets.UTF_8);
            messages.add(body.isEmpty() ? head : head + " + " + body);
        }
        return messages;
    }

    /** A JSON text as a message is read. */
    public static Map<String, Object> head(String json) {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        try {
            return JsonCodec.read(bytes, 0, bytes.length);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
