package org.cypressweir.dataplane.http.server;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** One request on a connection and its response; only the first response counts. For the event loop only. */
final class Exchange implements ServerRequest {

    private final HttpConnection connection;
    private final String method;
    private final String uri;
    private final String host;
    private final boolean http10;
    private final boolean keepAlive;
    private final List<Map.Entry<String, String>> headers = new ArrayList<>();
    private final RequestBody requestBody;
    private final byte[] bodyBytes;
    private final long arrivedMicros;
    private final InetSocketAddress remote;
    private boolean open = true;
    private boolean disconnected;
    private Runnable disconnectListener;

    Exchange(
            HttpConnection connection,
            HttpRequest request,
            RequestHeadScanner head,
            RequestBody requestBody,
            long arrivedMicros) {
        this.connection = connection;
        this.requestBody = requestBody;
        this.arrivedMicros = arrivedMicros;
        method = request.method().name();
        uri = head.uri();
        host = head.host();
        http10 = head.isHttp10();
        keepAlive = HttpUtil.isKeepAlive(request);
        bodyBytes = requestBody.complete();
        remote = connection.remote();
        Iterator<Map.Entry<String, String>> received = request.headers().iteratorAsString();
        while (received.hasNext()) {
            Map.Entry<String, String> header = received.next();
            // RFC 9112 section 3.2.2: the authority of an absolute target takes precedence over Host.
            boolean overridden = head.authority() != null && header.getKey().equalsIgnoreCase("Host");
            headers.add(Map.entry(header.getKey(), overridden ? head.authority() : header.getValue()));
        }
    }

    @Override
    public String method() {
        return method;
    }

    @Override
    public String uri() {
        return uri;
    }

    @Override
    public String host() {
        return host;
    }

    @Override
    public List<Map.Entry<String, String>> headers() {
        return headers;
    }

    @Override
    public byte[] body() {
        return bodyBytes;
    }

    @Override
    public long arrivedMicros() {
        return arrivedMicros;
    }

    @Override
    public InetSocketAddress remote() {
        return remote;
    }

    @Override
    public boolean isOpen() {
        return open && connection.isActive();
    }

    @Override
    public boolean answer(ServerResponse response) {
        boolean first = open && connection.respond(this, response);
        open = false;
        return first;
    }

    @Override
    public void onDisconnect(Runnable task) {
        if (disconnected) {
            task.run();
        } else if (open) {
            disconnectListener = task;
        }
    }

    /** The client has closed its connection before the response. */
    void clientDisconnected() {
        open = false;
        disconnected = true;
        requestBody.free();
        if (disconnectListener != null) {
            disconnectListener.run();
        }
    }

    RequestBody requestBody() {
        return requestBody;
    }

    /** Whether the connection stays open after the response, RFC 9112 section 9.3. */
    boolean keepAlive() {
        return keepAlive;
    }

    boolean isHttp10() {
        return http10;
    }
}
