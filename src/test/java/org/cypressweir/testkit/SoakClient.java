package org.cypressweir.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A client that sends one request at a time on a connection that it reuses until the proxy closes it; then it opens the
 * next one at once. It runs on a thread of its own until it is closed, and records each request.
 */
final class SoakClient implements AutoCloseable {

    /** How a request ended, as far as the client knows. */
    enum Ending {
        ANSWERED,
        /** The whole request was written; then the connection ended, or the response time-out passed. */
        NO_ANSWER,
        /** The connection failed while the request was being written. */
        NOT_WRITTEN
    }

    /** One request; times are in nanoseconds of {@link System#nanoTime()}, and the status is 0 without a response. */
    record Sent(
            String id,
            String proxy,
            String key,
            boolean idempotent,
            long sentAt,
            long endedAt,
            Ending ending,
            int status,
            String body,
            String cause) {}

    private static final int CONNECT_MILLIS = 1_000;
    private static final int RESPONSE_MILLIS = 8_000;
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long MAX_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

    final Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    private final String name;
    private final String proxy;
    private final InetSocketAddress address;
    private final String host;
    private final String[] keys;
    private final SplittableRandom random;
    private final Thread thread;
    private volatile boolean closed;
    private long number;

    /** @param keys the tenants' API keys, of which each request uses one at random */
    SoakClient(String name, String proxy, InetSocketAddress address, String host, String[] keys, long seed) {
        this.name = name;
        this.proxy = proxy;
        this.address = address;
        this.host = host;
        this.keys = keys;
        random = new SplittableRandom(seed);
        thread = new Thread(this::run, "soak-client-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!closed) {
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_MILLIS);
                socket.setSoTimeout(RESPONSE_MILLIS);
                socket.setTcpNoDelay(true);
                while (!closed && request(socket)) {
                    LockSupport.parkNanos(random.nextLong(MAX_PAUSE_NANOS));
                }
            } catch (IOException e) {
                // The proxy is not reachable at the moment, and no request was sent.
                LockSupport.parkNanos(RECONNECT_NANOS);
            }
        }
    }

    /** Sends a request and records it; returns whether the connection can be reused. */
    private boolean request(Socket socket) {
        String id = name + "-" + ++number;
        String key = keys[random.nextInt(keys.length)];
        boolean idempotent = random.nextBoolean();
        String body = "of " + id;
        String text = "POST " + (idempotent ? "/safe/" : "/once/") + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + ApplicationStubs.ID + ": " + id + "\r\nCypressweir-Key: " + key + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        long sentAt = System.nanoTime();
        Ending ending = Ending.NOT_WRITTEN;
        RawHttpClient.Message response = null;
        String cause = "";
        try {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            ending = Ending.NO_ANSWER;
            response = RawHttpClient.read(socket.getInputStream());
            cause = response == null ? "closed" : "";
        } catch (IOException e) {
            cause = e.toString();
        }
        ending = response == null ? ending : Ending.ANSWERED;
        int status = response == null ? 0 : response.status();
        String responseBody = response == null ? "" : response.body();
        sent.add(new Sent(id, proxy, key, idempotent, sentAt, System.nanoTime(), ending, status, responseBody, cause));
        return response != null && !"close".equalsIgnoreCase(response.headers().getOrDefault("Connection", ""));
    }

    /** Stops the client after the current request. */
    @Override
    public void close() {
        closed = true;
    }

    /** Waits until the thread has ended, for at most the longest time that a request may take. */
    void join() throws InterruptedException {
        thread.join(RESPONSE_MILLIS + CONNECT_MILLIS);
    }
}
