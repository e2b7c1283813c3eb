package org.cypressweir.testkit;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes the HTTP calls of operators and clients to the processes of a {@link MeshFixture}, each on a connection of its
 * own. Thread-safe.
 */
final class MeshClient {

    private static final int MAX_REDIRECTS = 2;
    private static final int TEMPORARY_REDIRECT = 307;
    private static final String MODIFY_PATH = "/cypressweir/config/modify";
    private static final String READ_PATH = "/cypressweir/config/read";

    private final MeshNetwork network;
    private final AtomicLong requestIds = new AtomicLong();
    private volatile int timeoutMillis;

    MeshClient(MeshNetwork network, int timeoutMillis) {
        this.network = network;
        this.timeoutMillis = timeoutMillis;
    }

    void setTimeoutMillis(int millis) {
        timeoutMillis = millis;
    }

    String nextRequestId() {
        return "a" + requestIds.incrementAndGet();
    }

    RawHttpClient.Message modify(String controller, String json) throws IOException {
        return callFollowingRedirects(controller, "POST", MODIFY_PATH, withDoubleQuotes(json));
    }

    RawHttpClient.Message read(String controller) throws IOException {
        return callFollowingRedirects(controller, "GET", READ_PATH, "");
    }

    RawHttpClient.Message beginRollout(String controller, String json) throws IOException {
        return callFollowingRedirects(controller, "POST", "/cypressweir/rollouts/begin", withDoubleQuotes(json));
    }

    RawHttpClient.Message readRollout(String controller, String service) throws IOException {
        return callFollowingRedirects(controller, "GET", "/cypressweir/rollouts/" + service + "/read", "");
    }

    RawHttpClient.Message readWithoutRedirect(String controller) throws IOException {
        return call(controller, MeshNetwork.CONTROL_PORT, "GET", READ_PATH, "", "");
    }

    RawHttpClient.Message state(String name) throws IOException {
        return call(name, MeshNetwork.CONTROL_PORT, "GET", "/cypressweir/state", "", "");
    }

    RawHttpClient.Message metrics(String name) throws IOException {
        return call(name, MeshNetwork.METRICS_PORT, "GET", "/metrics", "", "");
    }

    RawHttpClient.Message readiness(String proxy) throws IOException {
        return call(proxy, MeshNetwork.READINESS_PORT, "GET", "/cypressweir/readiness", "", "");
    }

    RawHttpClient.Message request(String proxy, String host, String path, String key, String id) throws IOException {
        String headers = "Host: " + host + "\r\n" + ApplicationStubs.ID + ": " + id + "\r\n"
                + (key == null ? "" : "Cypressweir-Key: " + key + "\r\n");
        return call(proxy, MeshNetwork.OUTBOUND_PORT, "POST", path, headers, "of " + id);
    }

    void modifyWithoutResponse(String controller, String json) throws IOException {
        String body = withDoubleQuotes(json);
        try (Socket socket = new Socket()) {
            socket.connect(network.address(controller, MeshNetwork.CONTROL_PORT), timeoutMillis);
            write(
                    socket,
                    "POST " + MODIFY_PATH + " HTTP/1.1\r\nHost: " + controller + "\r\nContent-Length: " + body.length()
                            + "\r\n\r\n" + body);
        }
    }

    private static String withDoubleQuotes(String json) {
        return json.replace('\'', '"');
    }

    private RawHttpClient.Message callFollowingRedirects(String controller, String method, String path, String body)
            throws IOException {
        RawHttpClient.Message response = call(controller, MeshNetwork.CONTROL_PORT, method, path, "", body);
        for (int i = 0; i < MAX_REDIRECTS && response.status() == TEMPORARY_REDIRECT; i++) {
            URI to = URI.create(response.headers().get("Location"));
            InetSocketAddress address = new InetSocketAddress(to.getHost(), to.getPort());
            response = call(controller, address, method, to.getPath(), "", body);
        }
        return response;
    }

    private RawHttpClient.Message call(String name, int port, String method, String path, String headers, String body)
            throws IOException {
        return call(name, network.address(name, port), method, path, headers, body);
    }

    /** @throws ConnectException if nothing listens at the address; the request was not sent */
    private RawHttpClient.Message call(
            String name, InetSocketAddress to, String method, String path, String headers, String body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            String host = headers.startsWith("Host:") ? "" : "Host: " + name + "\r\n";
            try {
                write(
                        socket,
                        method + " " + path + " HTTP/1.1\r\n" + host + headers + "Connection: close\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body);
                RawHttpClient.Message response = RawHttpClient.read(socket.getInputStream());
                if (response == null) {
                    throw new IOException("connection closed");
                }
                return response;
            } catch (IOException e) {
                throw new IOException(name + " sent no response to " + path + ": " + e, e);
            }
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }
}
