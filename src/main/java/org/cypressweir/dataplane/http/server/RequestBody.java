package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/** The bytes of one body as they come. What they take is counted with the gangway until they are freed. */
final class RequestBody {

    private static final byte[] NOTHING = new byte[0];
    private static final int FIRST = 16 * 1024;

    private final HttpListener gangway;
    /** As told, or -1. */
    private final long length;

    private byte[] bytes = NOTHING;
    private int size;

    RequestBody(HttpListener gangway, long length) {
        this.gangway = gangway;
        this.length = length;
    }

    int size() {
        return size;
    }

    /** Whether there was room. */
    boolean add(ByteBuf more) {
        int count = more.readableBytes();
        if (count > bytes.length - size) {
            // No more in advance than has come: a great length that is only told takes no room.
            long wanted = Math.max(size + (long) count, Math.max(FIRST, 2L * size));
            long room = length < 0 ? wanted : Math.min(length, wanted);
            if (!gangway.take(room - bytes.length)) {
                return false;
            }
            bytes = Arrays.copyOf(bytes, (int) room);
        }
        more.readBytes(bytes, size, count);
        size += count;
        return true;
    }

    /** All of them, once they are whole. */
    byte[] whole() {
        if (size < bytes.length) {
            gangway.take(size - bytes.length);
            bytes = size == 0 ? NOTHING : Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    void free() {
        gangway.take(-bytes.length);
        bytes = NOTHING;
        size = 0;
    }
}
