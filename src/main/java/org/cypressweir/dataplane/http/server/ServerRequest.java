package org.cypressweir.dataplane.http.server;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** A complete request that waits for its one response. For the listener's event loop only. */
public interface ServerRequest {
    /** The method as received, a token. */
    String method();

    /** Path and query as received, without the scheme and authority of an absolute target; "*" for OPTIONS. */
    String uri();

    /** The path as received, without the query. */
    default String path() {
        int query = uri().indexOf('?');
        return query < 0 ? uri() : uri().substring(0, query);
    }

    /** The host in lower case, without the port; empty only for HTTP/1.0 without Host. */
    String host();

    /** In the order and with the names received; the authority of an absolute target replaces Host. */
    List<Map.Entry<String, String>> headers();

    /** The value of the first header of that name, in any case, or null. */
    default String header(String name) {
        return Headers.first(headers(), name);
    }

    /** The complete body, empty if there is none. The array is not copied. */
    byte[] body();

    /** When its last byte was read, on the listener's clock. */
    long arrivedMicros();

    /** The client's address. */
    InetSocketAddress remote();

    /** Sends the response; returns false if one was sent before or the client has disconnected. */
    boolean answer(ServerResponse response);

    /** Runs a task once if the client disconnects before the response; at once if it has already. */
    void onDisconnect(Runnable task);

    /** Whether it still waits for its response and the client is connected. */
    boolean isOpen();
}
