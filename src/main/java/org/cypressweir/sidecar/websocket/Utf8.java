package org.cypressweir.sidecar.websocket;

import io.netty.buffer.ByteBuf;

/**
 * Validates UTF-8 that arrives in pieces (RFC 3629, section 4): no overlong forms, no surrogates, nothing past
 * U+10FFFF. Reports an invalid byte immediately, not at the end of its message.
 */
final class Utf8 {

    /** How many continuation bytes are still expected, and the valid range of the next one. */
    private int remaining;

    private int nextLow;
    private int nextHigh;

    /** Validates the next piece of a text; false if it can't be UTF-8, whatever follows. */
    boolean accept(ByteBuf bytes) {
        return bytes.forEachByte(this::accept) < 0;
    }

    /** Whether the text may end here. */
    boolean isComplete() {
        return remaining == 0;
    }

    private boolean accept(byte value) {
        int b = value & 0xff;
        if (remaining > 0) {
            if (b < nextLow || b > nextHigh) {
                return false;
            }
            remaining--;
            nextLow = 0x80;
            nextHigh = 0xbf;
            return true;
        }
        if (b < 0x80) {
            return true;
        }
        if (b < 0xc2 || b > 0xf4) {
            return false;
        }
        remaining = b < 0xe0 ? 1 : b < 0xf0 ? 2 : 3;
        nextLow = b == 0xe0 ? 0xa0 : b == 0xf0 ? 0x90 : 0x80;
        nextHigh = b == 0xed ? 0x9f : b == 0xf4 ? 0x8f : 0xbf;
        return true;
    }
}
