package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Opcodes, close codes and encoding of frames (RFC 6455, section 5.2). */
public final class Frames {

    public static final int CONTINUATION = 0;
    public static final int TEXT = 1;
    public static final int BINARY = 2;
    public static final int CLOSE = 8;
    public static final int PING = 9;
    public static final int PONG = 10;

    public static final int NORMAL = 1000;
    public static final int GOING_AWAY = 1001;
    public static final int PROTOCOL_ERROR = 1002;
    public static final int INVALID_PAYLOAD = 1007;
    public static final int TOO_LARGE = 1009;
    public static final int SERVER_ERROR = 1011;

    /** The largest payload of a control frame, in bytes. */
    public static final int MAX_CONTROL_PAYLOAD_BYTES = 125;

    private Frames() {}

    /** Whether a peer may send this code in a close frame (section 7.4; the registry's 1012 to 1014 too). */
    static boolean isValidCloseCode(int code) {
        return code >= 1000 && code <= 1003 || code >= 1007 && code <= 1014 || code >= 3000 && code <= 4999;
    }

    /** Encodes the payload of a close frame; truncates a reason that is too long. */
    static byte[] closePayload(int code, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
        byte[] payload = new byte[2 + Math.min(text.length, MAX_CONTROL_PAYLOAD_BYTES - 2)];
        payload[0] = (byte) (code >> 8);
        payload[1] = (byte) code;
        System.arraycopy(text, 0, payload, 2, payload.length - 2);
        return payload;
    }

    /**
     * Encodes a frame. Takes ownership of the payload and modifies it if it is masked.
     *
     * @param mask the masking key; null for an unmasked frame
     */
    static ByteBuf frame(int opcode, boolean last, boolean compressed, ByteBuf payload, byte[] mask) {
        int length = payload.readableBytes();
        ByteBuf header = Unpooled.buffer(14);
        header.writeByte((last ? 0x80 : 0) | (compressed ? 0x40 : 0) | opcode);
        int maskBit = mask == null ? 0 : 0x80;
        if (length < 126) {
            header.writeByte(maskBit | length);
        } else if (length < 65_536) {
            header.writeByte(maskBit | 126).writeShort(length);
        } else {
            header.writeByte(maskBit | 127).writeLong(length);
        }
        if (mask == null) {
            return length == 0 ? release(payload, header) : Unpooled.wrappedBuffer(header, payload);
        }
        header.writeBytes(mask);
        mask(payload, mask, 0);
        return length == 0 ? release(payload, header) : Unpooled.wrappedBuffer(header, payload);
    }

    private static ByteBuf release(ByteBuf payload, ByteBuf header) {
        payload.release();
        return header;
    }

    /**
     * Masks or unmasks the readable bytes in place.
     *
     * @param offset position of the first readable byte in the payload of its frame
     */
    static void mask(ByteBuf bytes, byte[] key, long offset) {
        int at = bytes.readerIndex();
        int end = bytes.writerIndex();
        long wideKey = 0;
        for (int i = 0; i < 8; i++) {
            wideKey = wideKey << 8 | key[(int) (offset + i & 3)] & 0xff;
        }
        for (; at + 8 <= end; at += 8) {
            bytes.setLong(at, bytes.getLong(at) ^ wideKey);
        }
        for (long i = offset; at < end; at++, i++) {
            bytes.setByte(at, bytes.getByte(at) ^ key[(int) (i & 3)]);
        }
    }
}
