package org.cypressweir.dataplane.http.upstream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A dispatcher with a server whose every byte the test writes, and a clock that the test can advance. */
final class UpstreamFixture {
    /** The server's seal, and an idle time-out that is longer than any test waits for a connection to close. */
    static final String SEAL = "Cypressweir-Server-Seal: s\r\nKeep-Alive: timeout=600\r\n";

    private static final int TIMEOUT_MILLIS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final ServerSocket server;
    final AtomicLong clockOffset = new AtomicLong();
    final List<String> log = new CopyOnWriteArrayList<>();
    final UpstreamDispatcher dispatcher;
    private volatile long stoppedAt;
    private int attemptCount;

    UpstreamFixture(int concurrency) throws Exception {
        this(concurrency, UpstreamOptions.defaults());
    }

    UpstreamFixture(int concurrency, UpstreamOptions options) throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
        InetSocketAddress serverAddress = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        dispatcher = new UpstreamDispatcher(loop, serverAddress, this::clockMicros, options, log::add);
        setInstance("one", concurrency);
    }

    long clockMicros() {
        return (stoppedAt == 0 ? System.nanoTime() / 1000 : stoppedAt) + clockOffset.get();
    }

    /** Stops the clock: from now on only {@link #advance} moves it. */
    void stopClock() {
        stoppedAt = System.nanoTime() / 1000;
    }

    <T> T callOnLoop(Callable<T> task) throws Exception {
        return loop.inEventLoop() ? task.call() : loop.submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void runOnLoop(Runnable task) throws Exception {
        loop.submit(task).get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    void setInstance(String instance, int concurrency) throws Exception {
        runOnLoop(() -> dispatcher.setInstance(
                instance == null ? null : new InstanceIncarnation(instance, "shop", concurrency, false, 0)));
    }

    /** Advances the clock and lets the dispatcher handle what is due. */
    void advance(long micros) throws Exception {
        clockOffset.addAndGet(micros);
        runOnLoop(dispatcher::tick);
    }

    /** A request with a distant deadline, and its outcomes. */
    final class SubmittedRequest {
        final String id = "a-" + ++attemptCount;
        final BlockingQueue<RequestOutcome> outcomes = new LinkedBlockingQueue<>();
        RequestHandle handle;

        RequestOutcome outcome() throws InterruptedException {
            RequestOutcome outcome = outcomes.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            if (outcome == null) {
                throw new AssertionError("no outcome of " + id);
            }
            return outcome;
        }

        RejectionReason rejection() throws InterruptedException {
            return ((RequestOutcome.NotRun) outcome()).reason();
        }

        String mayHaveRunReason() throws InterruptedException {
            return ((RequestOutcome.MayHaveRun) outcome()).why();
        }

        String response() throws InterruptedException {
            RequestOutcome outcome = outcome();
            if (outcome instanceof RequestOutcome.Responded response) {
                return response.status() + " " + new String(response.body(), StandardCharsets.ISO_8859_1);
            }
            throw new AssertionError(outcome + ", " + log);
        }

        void cancel() throws Exception {
            runOnLoop(() -> dispatcher.cancel(handle));
        }
    }

    SubmittedRequest submit(String method, boolean idempotent, String instance, String body) throws Exception {
        SubmittedRequest submitted = new SubmittedRequest();
        long now = clockMicros();
        UpstreamRequest request = new UpstreamRequest(
                submitted.id,
                method,
                "/x?y=%20",
                List.of(Map.entry("Host", "shop"), Map.entry(RequestEncoder.ATTEMPT_ID, submitted.id)),
                body == null ? null : body.getBytes(StandardCharsets.ISO_8859_1),
                idempotent,
                1,
                false,
                now + 60_000_000,
                now + 90_000_000,
                instance);
        submitted.handle = callOnLoop(() -> dispatcher.submit(request, submitted.outcomes::add));
        return submitted;
    }

    SubmittedRequest get() throws Exception {
        return submit("GET", true, null, null);
    }

    SubmittedRequest post() throws Exception {
        return submit("POST", false, "one", "hello");
    }

    ServerConnection accept() throws IOException {
        return new ServerConnection(server.accept());
    }

    void close() throws Exception {
        runOnLoop(dispatcher::close);
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(TIMEOUT_MILLIS);
    }

    /** The server's side of one connection. */
    static final class ServerConnection {
        final Socket socket;

        ServerConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
        }

        String readHead() throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int b = socket.getInputStream().read();
                if (b < 0) {
                    throw new IOException("end of stream");
                }
                head.write(b);
            }
            return head.toString(StandardCharsets.ISO_8859_1);
        }

        String readBody(int length) throws IOException {
            return new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        ServerConnection write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Whether the client has closed the connection without sending a further byte. */
        boolean isClosedByClient() {
            try {
                return socket.getInputStream().read() < 0;
            } catch (IOException e) {
                return !(e instanceof java.net.SocketTimeoutException);
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static String response(String id, String body) {
        return response("200 OK", id, SEAL, body);
    }

    static String response(String status, String id, String headers, String body) {
        return head(status, id, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String head(String status, String id, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + RequestEncoder.ATTEMPT_ID + ": " + id + "\r\n" + headers;
    }
}
