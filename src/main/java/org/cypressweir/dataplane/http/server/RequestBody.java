package org.cypressweir.dataplane.http.server;

import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The bytes of one body as they are received. Its buffer counts against the listener's limit until it is freed. For the
 * event loop only.
 */
final class RequestBody {

    private static final byte[] NO_BYTES = new byte[0];
    private static final int INITIAL_CAPACITY = 16 * 1024;

    private final HttpListener listener;
    /** As announced, or {@link RequestHeadScanner#NO_LENGTH}. */
    private final long contentLength;

    private byte[] bytes = NO_BYTES;
    private int size;

    RequestBody(HttpListener listener, long contentLength) {
        this.listener = listener;
        this.contentLength = contentLength;
    }

    int size() {
        return size;
    }

    /** Appends bytes; returns whether they could be buffered. */
    boolean add(ByteBuf more) {
        int count = more.readableBytes();
        if (count > bytes.length - size && !grow(count)) {
            return false;
        }
        more.readBytes(bytes, size, count);
        size += count;
        return true;
    }

    /**
     * Grows the buffer to at most double its size: a client that only announces a large body reserves no more than
     * twice what it has sent.
     */
    private boolean grow(int count) {
        long wanted = Math.max(size + (long) count, Math.max(INITIAL_CAPACITY, 2L * size));
        long capacity = contentLength < 0 ? wanted : Math.min(contentLength, wanted);
        if (!listener.tryReserve(capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, (int) capacity);
        return true;
    }

    /** The bytes, once the body is complete; not copied if the buffer is full. */
    byte[] complete() {
        if (size < bytes.length) {
            listener.tryReserve(size - bytes.length);
            bytes = size == 0 ? NO_BYTES : Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    void free() {
        listener.tryReserve(-bytes.length);
        bytes = NO_BYTES;
        size = 0;
    }
}
