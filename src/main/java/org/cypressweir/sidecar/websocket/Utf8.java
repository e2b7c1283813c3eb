package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;

/**
 * Whether bytes that come in pieces are UTF-8 (RFC 3629, section 4): no overlong forms, no surrogates,
 * nothing
 * past U+10FFFF. A wrong byte is told at once, not at the end of its message.
 */
final class Utf8 {

    /** Continuation bytes that are still to come, and the range of the next of them. */
    private int missing;

    private int low;
    private int high;

    /** Takes more of a text; false where it can't be UTF-8, whatever follows. */
    boolean accept(ByteBuf bytes) {
        return bytes.forEachByte(this::accept) < 0;
    }

    /** Whether the text may end here. */
    boolean isWhole() {
        return missing == 0;
    }

    private boolean accept(byte value) {
        int b = value & 0xff;
        if (missing > 0) {
            if (b < low || b > high) {
                return false;
            }
            missing--;
            low = 0x80;
            high = 0xbf;
            return true;
        }
        if (b < 0x80) {
            return true;
        }
        if (b < 0xc2 || b > 0xf4) {
            return false;
        }
        missing = b < 0xe0 ? 1 : b < 0xf0 ? 2 : 3;
        low = b == 0xe0 ? 0xa0 : b == 0xf0 ? 0x90 : 0x80;
        high = b == 0xed ? 0x9f : b == 0xf4 ? 0x8f : 0xbf;
        return true;
    }
}
