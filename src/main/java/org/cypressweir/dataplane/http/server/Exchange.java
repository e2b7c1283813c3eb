package org.cypressweir.dataplane.http.server;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/** One request and its answer; only the first answer counts. */
final class Exchange implements ServerRequest {

    private final HttpConnection connection;
    private final String method;
    private final String uri;
    private final String host;
    private final boolean old;
    private final boolean keeps;
    private final List<Map.Entry<String, String>> headers = new ArrayList<>();
    private final RequestBody body;
    private final byte[] bytes;
    private final long arrived;
    private final InetSocketAddress remote;
    private boolean open = true;
    private boolean gone;
    private Runnable whenGone;

    Exchange(HttpConnection connection, HttpRequest request, RequestHeadScanner head, RequestBody body, long arrived) {
        this.connection = connection;
        this.body = body;
        this.arrived = arrived;
        method = request.method().name();
        uri = head.uri();
        host = head.host();
        old = head.isOld();
        keeps = HttpUtil.isKeepAlive(request);
        bytes = body.whole();
        remote = connection.remote();
        Iterator<Map.Entry<String, String>> each = request.headers().iteratorAsString();
        while (each.hasNext()) {
            Map.Entry<String, String> header = each.next();
            boolean names = head.authority() != null && header.getKey().equalsIgnoreCase("Host");
            headers.add(Map.entry(header.getKey(), names ? head.authority() : header.getValue()));
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
        return bytes;
    }

    @Override
    public long arrivedMicros() {
        return arrived;
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
    public boolean answer(ServerResponse answer) {
        boolean first = open && connection.answer(this, answer);
        open = false;
        return first;
    }

    @Override
    public void whenGone(Runnable task) {
        if (gone) {
            task.run();
        } else if (open) {
            whenGone = task;
        }
    }

    /** The client has closed its connection. */
    void gone() {
        open = false;
        gone = true;
        body.free();
        if (whenGone != null) {
            whenGone.run();
        }
    }

    RequestBody held() {
        return body;
    }

    boolean keeps() {
        return keeps;
    }

    boolean isOld() {
        return old;
    }
}
