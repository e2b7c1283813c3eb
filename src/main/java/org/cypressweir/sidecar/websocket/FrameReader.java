package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads one direction of a tunnel, in pieces of any size, and checks it (RFC 6455, sections 5 and 8.1). Of
 * data
 * frames it hands on what has come, so that a frame of any length takes no memory here; each piece can be
 * sent
 * on as a frame of its own (section 5.4 allows it where all extensions are known), so that whatever breaks,
 * no
 * frame is torn. Control frames are handed on whole.
 */
public final class FrameReader {

    /** Takes what was read. */
    public interface Sink {
        /**
         * A piece of a message.
         *
         * @param opcode of the message with its first piece, 0 with the others
         * @param compressed the first reserved bit, which only a first piece may have
         * @param payload taken over by the sink
         * @param last whether the message ends
         */
        void data(int opcode, boolean compressed, ByteBuf payload, boolean last);

        /** A close, ping or pong frame. */
        void control(int opcode, byte[] payload);
    }

    private final boolean fromClient;
    private final boolean compression;
    private final long maxFrame;
    private final long maxMessage;
    private final Sink sink;

    /** Of the frame at hand: its head, as far as it has come. */
    private final ByteBuf head = Unpooled.buffer(14, 14);

    private boolean inPayload;
    private boolean last;
    private int opcode;
    private boolean compressed;
    private long length;
    private long passed;
    private final byte[] mask = new byte[4];
    private ByteBuf control;
    /** Of the message at hand: its opcode, 0 for none; whether a piece has been handed on; its bytes. */
    private int message;

    private boolean begun;
    private long messageBytes;
    private Utf8 text;
    private boolean closed;

    /**
     * For one direction.
     *
     * @param fromClient whether frames must be masked; else they must not
     * @param compression whether permessage-deflate was agreed on, which gives the first reserved bit a
     * meaning
     * @param maxFrame largest payload of a frame, in bytes
     * @param maxMessage largest message, in bytes as they are sent
     */
    public FrameReader(boolean fromClient, boolean compression, long maxFrame, long maxMessage, Sink sink) {
        this.fromClient = fromClient;
        this.compression = compression;
        this.maxFrame = maxFrame;
        this.maxMessage = maxMessage;
        this.sink = sink;
    }

    /** Whether a message has begun and not ended. */
    public boolean inMessage() {
        return message != 0;
    }

    /**
     * Takes what has come; the buffer is not taken over. After a close frame or a violation nothing counts
     * any
     * more.
     *
     * @throws ProtocolViolationException at the first byte that is wrong; what came before it has been handed on
     */
    public void read(ByteBuf in) throws ProtocolViolationException {
        try {
            while (in.isReadable() && !closed) {
                if (inPayload) {
                    payload(in);
                } else if (head(in)) {
                    begin();
                }
            }
        } catch (ProtocolViolationException e) {
            // Where the next frame begins is not known any more.
            closed = true;
            throw e;
        }
    }

    /** Whether the head is whole. */
    private boolean head(ByteBuf in) throws ProtocolViolationException {
        while (in.isReadable()) {
            head.writeByte(in.readByte());
            if (head.writerIndex() == 2) {
                checkStart();
            }
            if (head.writerIndex() >= 2 && head.writerIndex() == headLength()) {
                return true;
            }
        }
        return false;
    }

    private int headLength() {
        int small = head.getByte(1) & 0x7f;
        return 2 + (small == 126 ? 2 : small == 127 ? 8 : 0) + (fromClient ? 4 : 0);
    }

    private void checkStart() throws ProtocolViolationException {
        int first = head.getByte(0);
        int small = head.getByte(1) & 0x7f;
        last = (first & 0x80) != 0;
        compressed = (first & 0x40) != 0;
        opcode = first & 0x0f;
        check((first & 0x30) == 0, "reserved bit");
        check(!compressed || compression && (opcode == Frames.TEXT || opcode == Frames.BINARY), "reserved bit");
        check(opcode <= Frames.BINARY || opcode >= Frames.CLOSE && opcode <= Frames.PONG, "unknown opcode");
        check((head.getByte(1) & 0x80) != 0 == fromClient, fromClient ? "not masked" : "masked");
        if (opcode >= Frames.CLOSE) {
            check(last, "fragmented control frame");
            check(small <= Frames.MAX_CONTROL, "long control frame");
        } else {
            check(
                    opcode == Frames.CONTINUATION == (message != 0),
                    message != 0 ? "message within a message" : "nothing to continue");
        }
    }

    private static void check(boolean holds, String otherwise) throws ProtocolViolationException {
        if (!holds) {
            throw new ProtocolViolationException(Frames.PROTOCOL_ERROR, otherwise);
        }
    }

    private void begin() throws ProtocolViolationException {
        int small = head.getByte(1) & 0x7f;
        length = small == 126 ? head.getUnsignedShort(2) : small == 127 ? head.getLong(2) : small;
        check(
                length >= 0 && (small != 126 || length > 125) && (small != 127 || length > 65_535),
                "length not in its shortest form");
        if (fromClient) {
            head.getBytes(head.writerIndex() - 4, mask);
        }
        head.clear();
        passed = 0;
        if (opcode >= Frames.CLOSE) {
            control = Unpooled.buffer((int) length);
        } else {
            if (opcode != Frames.CONTINUATION) {
                message = opcode;
                begun = false;
                messageBytes = 0;
                text = opcode == Frames.TEXT && !compressed ? new Utf8() : null;
            }
            messageBytes += length;
            if (length > maxFrame || messageBytes > maxMessage || messageBytes < 0) {
                throw new ProtocolViolationException(
                        Frames.TOO_LARGE, length > maxFrame ? "frame too large" : "message too large");
            }
        }
        inPayload = true;
        if (length == 0) {
            payload(Unpooled.EMPTY_BUFFER);
        }
    }

    private void payload(ByteBuf in) throws ProtocolViolationException {
        int count = (int) Math.min(in.readableBytes(), length - passed);
        ByteBuf piece = in.readRetainedSlice(count);
        if (fromClient) {
            Frames.mask(piece, mask, passed);
        }
        passed += count;
        inPayload = passed < length;
        if (opcode >= Frames.CLOSE) {
            control.writeBytes(piece);
            piece.release();
            if (!inPayload) {
                control();
            }
        } else {
            data(piece);
        }
    }

    private void data(ByteBuf piece) throws ProtocolViolationException {
        boolean ends = last && !inPayload;
        if (text != null && (!text.accept(piece) || ends && !text.isWhole())) {
            piece.release();
            throw new ProtocolViolationException(Frames.INVALID_PAYLOAD, "not UTF-8");
        }
        int as = begun ? Frames.CONTINUATION : message;
        boolean flag = !begun && compressed;
        begun = true;
        if (ends) {
            message = 0;
        }
        sink.data(as, flag, piece, ends);
    }

    private void control() throws ProtocolViolationException {
        byte[] payload = new byte[control.readableBytes()];
        control.readBytes(payload);
        if (opcode == Frames.CLOSE) {
            checkClose(payload);
            closed = true;
        }
        sink.control(opcode, payload);
    }

    private static void checkClose(byte[] payload) throws ProtocolViolationException {
        if (payload.length == 0) {
            return;
        }
        check(payload.length >= 2, "close code cut short");
        check(Frames.isCode((payload[0] & 0xff) << 8 | payload[1] & 0xff), "no such close code");
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(payload, 2, payload.length - 2));
        } catch (CharacterCodingException e) {
            throw new ProtocolViolationException(Frames.INVALID_PAYLOAD, "close reason is not UTF-8");
        }
    }
}
