package org.cypressweir.testkit;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.dataplane.http.server.ServerRequest;
import org.cypressweir.dataplane.http.server.ServerResponse;

/** A server request without a connection, which records its responses. Tests override the methods that they need. */
public class RecordedServerRequest implements ServerRequest {

    private final String method;
    private final String uri;
    public final List<ServerResponse> responses = new ArrayList<>();
    private Runnable disconnectTask = () -> {};
    private boolean disconnected;

    public RecordedServerRequest(String method, String uri) {
        this.method = method;
        this.uri = uri;
    }

    /** Simulates that the client disconnects. */
    public void disconnect() {
        disconnected = true;
        disconnectTask.run();
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
        return "a";
    }

    @Override
    public List<Map.Entry<String, String>> headers() {
        return List.of();
    }

    @Override
    public byte[] body() {
        return new byte[0];
    }

    @Override
    public long arrivedMicros() {
        return 0;
    }

    @Override
    public InetSocketAddress remote() {
        return null;
    }

    @Override
    public boolean answer(ServerResponse answer) {
        responses.add(answer);
        return true;
    }

    @Override
    public void onDisconnect(Runnable task) {
        disconnectTask = task;
        if (disconnected) {
            task.run();
        }
    }

    @Override
    public boolean isOpen() {
        return responses.isEmpty();
    }
}
