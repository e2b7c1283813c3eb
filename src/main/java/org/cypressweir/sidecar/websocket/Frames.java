package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Frames of RFC 6455, section 5.2: opcodes, close codes, and how a frame is written. */
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

    /** A control frame's payload has at most so many bytes. */
    public static final int MAX_CONTROL = 125;

    private Frames() {}

    /** Whether a peer may send this code in a close frame (section 7.4; the registry's 1012 to 1014 too). */
    static boolean isCode(int code) {
        return code >= 1000 && code <= 1003 || code >= 1007 && code <= 1014 || code >= 3000 && code <= 4999;
    }

    /** The payload of a close frame; a reason too long is cut. */
    static byte[] closing(int code, String reason) {
        byte[] text = reason.getBytes(StandardCharsets.US_ASCII);
        byte[] payload = new byte[2 + Math.min(text.length, MAX_CONTROL - 2)];
        payload[0] = (byte) (code >> 8);
        payload[1] = (byte) code;
        System.arraycopy(text, 0, payload, 2, payload.length - 2);
        return payload;
    }

    /**
     * Writes a frame. The payload is taken over, and changed where it is masked.
     *
     * @param mask the masking key; null for a frame that is not masked
     */
    static ByteBuf frame(int opcode, boolean last, boolean compressed, ByteBuf payload, byte[] mask) {
        int length = payload.readableBytes();
        ByteBuf head = Unpooled.buffer(14);
        head.writeByte((last ? 0x80 : 0) | (compressed ? 0x40 : 0) | opcode);
        int masked = mask == null ? 0 : 0x80;
        if (length < 126) {
            head.writeByte(masked | length);
        } else if (length < 65_536) {
            head.writeByte(masked | 126).writeShort(length);
        } else {
            head.writeByte(masked | 127).writeLong(length);
        }
        if (mask == null) {
            return length == 0 ? release(payload, head) : Unpooled.wrappedBuffer(head, payload);
        }
        head.writeBytes(mask);
        mask(payload, mask, 0);
        return length == 0 ? release(payload, head) : Unpooled.wrappedBuffer(head, payload);
    }

    private static ByteBuf release(ByteBuf payload, ByteBuf head) {
        payload.release();
        return head;
    }

    /**
     * Masks or unmasks the readable bytes in place, the first of them being so far into its frame's
     * payload.
     */
    static void mask(ByteBuf bytes, byte[] key, long offset) {
        int at = bytes.readerIndex();
        int end = bytes.writerIndex();
        long wide = 0;
        for (int i = 0; i < 8; i++) {
            wide = wide << 8 | key[(int) (offset + i & 3)] & 0xff;
        }
        for (; at + 8 <= end; at += 8) {
            bytes.setLong(at, bytes.getLong(at) ^ wide);
        }
        for (long i = offset; at < end; at++, i++) {
            bytes.setByte(at, bytes.getByte(at) ^ key[(int) (i & 3)]);
        }
    }
}
