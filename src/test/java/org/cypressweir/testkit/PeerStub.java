package org.cypressweir.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Assertions;

/** A scripted peer on a free loopback port: the script of the test handles each request. */
public final class PeerStub implements AutoCloseable {

    /** A received request and its connection. */
    public record ReceivedRequest(RawHttpClient.Message request, Socket socket) {
        public void reply(String status, String headers, String body) throws IOException {
            raw("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        public void raw(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** Handles one request of a scripted peer. */
    public interface Script {
        void on(ReceivedRequest received) throws IOException;
    }

    public static final Script SILENT = received -> {};
    public static final Script HANG_UP = received -> received.socket().close();

    public final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    /** One entry for each connection that has ended. */
    public final BlockingQueue<Socket> ended = new LinkedBlockingQueue<>();

    public final AtomicInteger accepted = new AtomicInteger();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final ServerSocket listening;
    private final Thread accepting;
    private volatile Script script;
    private volatile int idleMillis;

    public PeerStub(Script script) throws IOException {
        this(script, 50);
    }

    /** Starts a peer with this backlog: the number of established connections that may wait to be accepted. */
    public PeerStub(Script script, int backlog) throws IOException {
        this.script = script;
        listening = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        accepting = startDaemon(this::accept);
    }

    public static Script answers(String status, String headers, String body) {
        return received -> received.reply(status, headers, body);
    }

    public static Script serves(String body) {
        return answers("200 OK", "", body);
    }

    public void script(Script next) {
        script = next;
    }

    /** Closes new connections from now on when they have sent no request for this long; 0 for never. */
    public void setIdleTimeoutMillis(int millis) {
        idleMillis = millis;
    }

    /** How many connections are open. */
    public int openConnections() {
        return sockets.size();
    }

    public int port() {
        return listening.getLocalPort();
    }

    public ReceivedRequest take() throws InterruptedException {
        ReceivedRequest next = received.poll(10, TimeUnit.SECONDS);
        Assertions.assertNotNull(next, "no request was received");
        return next;
    }

    public void awaitEnd() throws InterruptedException {
        Assertions.assertNotNull(ended.poll(10, TimeUnit.SECONDS), "no connection ended");
    }

    private static Thread startDaemon(Runnable task) {
        Thread thread = new Thread(task, "stub");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                sockets.add(socket);
                socket.setSoTimeout(idleMillis);
                accepted.incrementAndGet();
                startDaemon(() -> serveConnection(socket));
            }
        } catch (IOException e) {
            // Closed: the test is over.
        }
    }

    private void serveConnection(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (RawHttpClient.Message m; (m = RawHttpClient.read(in)) != null; ) {
                ReceivedRequest next = new ReceivedRequest(m, socket);
                // Read before the request is queued: a test that sees the request may set the script for the next one.
                Script current = script;
                received.add(next);
                current.on(next);
            }
        } catch (IOException e) {
            // The client closed the connection or was idle for too long, which a test may want.
        } finally {
            sockets.remove(socket);
            ended.add(socket);
        }
    }

    /** Closes the peer. Waits for the accepting thread, which may still accept a connection; then all are refused. */
    @Override
    public void close() throws IOException {
        listening.close();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
