package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Parses and validates the frames of one direction of a tunnel, from pieces of any size (RFC 6455, sections 5 and 8.1).
 * Data frames are passed on piece by piece, so that a frame of any length needs no buffer here. Each piece can be sent
 * as a frame of its own (section 5.4 allows it if all extensions are known), so that no frame is left incomplete when a
 * connection breaks. Control frames are passed on whole.
 */
public final class FrameReader {

    /** Receives what was read. */
    public interface Sink {
        /**
         * A piece of a message.
         *
         * @param opcode the message's opcode with its first piece, 0 with the others
         * @param compressed the first reserved bit (RSV1), which only a first piece may have
         * @param payload owned by the sink
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

    /** The header of the current frame, as far as received. */
    private final ByteBuf header = Unpooled.buffer(14, 14);

    private boolean inPayload;
    private boolean last;
    private int opcode;
    private boolean compressed;
    private long length;
    private long payloadBytesRead;
    private final byte[] mask = new byte[4];
    private ByteBuf controlPayload;
    /** The current message: its opcode (0 for none), whether a piece has been passed on, and its size in bytes. */
    private int messageOpcode;

    private boolean messageBegun;
    private long messageBytes;
    private Utf8 textValidator;
    private boolean closed;

    /**
     * Creates a reader for one direction.
     *
     * @param fromClient whether frames must be masked; otherwise they must not be
     * @param compression whether permessage-deflate was agreed on, which allows the first reserved bit (RSV1)
     * @param maxFrame largest payload of a frame, in bytes
     * @param maxMessage largest message, in bytes as sent (still compressed)
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
        return messageOpcode != 0;
    }

    /**
     * Reads received bytes; the caller keeps ownership of the buffer. Input after a close frame or a violation is
     * ignored.
     *
     * @throws ProtocolViolationException at the first invalid byte; everything before it has been passed on
     */
    public void read(ByteBuf in) throws ProtocolViolationException {
        try {
            while (in.isReadable() && !closed) {
                if (inPayload) {
                    readPayload(in);
                } else if (readHeader(in)) {
                    beginFrame();
                }
            }
        } catch (ProtocolViolationException e) {
            // The start of the next frame is no longer known.
            closed = true;
            throw e;
        }
    }

    /** Reads header bytes; true once the header is complete. */
    private boolean readHeader(ByteBuf in) throws ProtocolViolationException {
        while (in.isReadable()) {
            header.writeByte(in.readByte());
            if (header.writerIndex() == 2) {
                checkFirstBytes();
            }
            if (header.writerIndex() >= 2 && header.writerIndex() == headerLength()) {
                return true;
            }
        }
        return false;
    }

    private int headerLength() {
        int lengthField = header.getByte(1) & 0x7f;
        return 2 + (lengthField == 126 ? 2 : lengthField == 127 ? 8 : 0) + (fromClient ? 4 : 0);
    }

    private void checkFirstBytes() throws ProtocolViolationException {
        int first = header.getByte(0);
        int lengthField = header.getByte(1) & 0x7f;
        last = (first & 0x80) != 0;
        compressed = (first & 0x40) != 0;
        opcode = first & 0x0f;
        check((first & 0x30) == 0, "reserved bit");
        check(!compressed || compression && (opcode == Frames.TEXT || opcode == Frames.BINARY), "reserved bit");
        check(opcode <= Frames.BINARY || opcode >= Frames.CLOSE && opcode <= Frames.PONG, "unknown opcode");
        check((header.getByte(1) & 0x80) != 0 == fromClient, fromClient ? "not masked" : "masked");
        if (opcode >= Frames.CLOSE) {
            check(last, "fragmented control frame");
            check(lengthField <= Frames.MAX_CONTROL_PAYLOAD_BYTES, "long control frame");
        } else {
            check(
                    opcode == Frames.CONTINUATION == (messageOpcode != 0),
                    messageOpcode != 0 ? "message within a message" : "nothing to continue");
        }
    }

    private static void check(boolean condition, String message) throws ProtocolViolationException {
        if (!condition) {
            throw new ProtocolViolationException(Frames.PROTOCOL_ERROR, message);
        }
    }

    private void beginFrame() throws ProtocolViolationException {
        int lengthField = header.getByte(1) & 0x7f;
        length = lengthField == 126 ? header.getUnsignedShort(2) : lengthField == 127 ? header.getLong(2) : lengthField;
        check(
                length >= 0 && (lengthField != 126 || length > 125) && (lengthField != 127 || length > 65_535),
                "length not in its shortest form");
        if (fromClient) {
            header.getBytes(header.writerIndex() - 4, mask);
        }
        header.clear();
        payloadBytesRead = 0;
        if (opcode >= Frames.CLOSE) {
            controlPayload = Unpooled.buffer((int) length);
        } else {
            if (opcode != Frames.CONTINUATION) {
                messageOpcode = opcode;
                messageBegun = false;
                messageBytes = 0;
                textValidator = opcode == Frames.TEXT && !compressed ? new Utf8() : null;
            }
            messageBytes += length;
            if (length > maxFrame || messageBytes > maxMessage || messageBytes < 0) {
                throw new ProtocolViolationException(
                        Frames.TOO_LARGE, length > maxFrame ? "frame too large" : "message too large");
            }
        }
        inPayload = true;
        if (length == 0) {
            readPayload(Unpooled.EMPTY_BUFFER);
        }
    }

    private void readPayload(ByteBuf in) throws ProtocolViolationException {
        int count = (int) Math.min(in.readableBytes(), length - payloadBytesRead);
        ByteBuf piece = in.readRetainedSlice(count);
        if (fromClient) {
            Frames.mask(piece, mask, payloadBytesRead);
        }
        payloadBytesRead += count;
        inPayload = payloadBytesRead < length;
        if (opcode >= Frames.CLOSE) {
            controlPayload.writeBytes(piece);
            piece.release();
            if (!inPayload) {
                finishControlFrame();
            }
        } else {
            deliverData(piece);
        }
    }

    private void deliverData(ByteBuf piece) throws ProtocolViolationException {
        boolean ends = last && !inPayload;
        if (textValidator != null && (!textValidator.accept(piece) || ends && !textValidator.isComplete())) {
            piece.release();
            throw new ProtocolViolationException(Frames.INVALID_PAYLOAD, "not UTF-8");
        }
        int pieceOpcode = messageBegun ? Frames.CONTINUATION : messageOpcode;
        boolean compressedFlag = !messageBegun && compressed;
        messageBegun = true;
        if (ends) {
            messageOpcode = 0;
        }
        sink.data(pieceOpcode, compressedFlag, piece, ends);
    }

    private void finishControlFrame() throws ProtocolViolationException {
        byte[] payload = new byte[controlPayload.readableBytes()];
        controlPayload.readBytes(payload);
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
        check(Frames.isValidCloseCode((payload[0] & 0xff) << 8 | payload[1] & 0xff), "no such close code");
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(payload, 2, payload.length - 2));
        } catch (CharacterCodingException e) {
            throw new ProtocolViolationException(Frames.INVALID_PAYLOAD, "close reason is not UTF-8");
        }
    }
}
