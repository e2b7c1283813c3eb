package org.cypressweir.dataplane.http.server;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** A whole request that waits for its one answer. All of it is for the loop's thread only. */
public interface ServerRequest {
    /** A token, as received. */
    String method();

    /** Path and query as received; without scheme and host where the target had them; "*" of OPTIONS. */
    String uri();

    /** The target without its query. */
    default String path() {
        int query = uri().indexOf('?');
        return query < 0 ? uri() : uri().substring(0, query);
    }

    /** In small letters, without the port; empty only for HTTP/1.0 without one. */
    String host();

    /** In the order and with the names received; Host says what the target said, where it had a host. */
    List<Map.Entry<String, String>> headers();

    /** The first of that name in any case, or null. */
    default String header(String name) {
        return Headers.first(headers(), name);
    }

    /** The whole body, empty for none. It is not copied. */
    byte[] body();

    /** When its last byte was read. */
    long arrivedMicros();

    /** The client's side of the connection. */
    InetSocketAddress remote();

    /** Whether the answer goes out: false where it was answered before, or the client is gone. */
    boolean answer(ServerResponse answer);

    /** Runs once if the client goes before the answer was given; at once where it has gone already. */
    void whenGone(Runnable task);

    /** Whether it still waits for its answer and the client is there. */
    boolean isOpen();
}
