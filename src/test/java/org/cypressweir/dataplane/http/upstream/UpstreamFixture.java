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

/** A quay with a server whose every byte the test writes, and a clock that the test can move on. */
final class UpstreamFixture {
    /** What the server signs, and that it keeps connections for longer than a test waits for their end. */
    static final String SEAL = "Cypressweir-Server-Seal: s\r\nKeep-Alive: timeout=600\r\n";

    private static final int BOUND_MILLIS = 20_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final EventLoop loop = group.next();
    final ServerSocket server;
    final AtomicLong ahead = new AtomicLong();
    final List<String> log = new CopyOnWriteArrayList<>();
    final UpstreamDispatcher quay;
    private volatile long stopped;
    private int ids;

    UpstreamFixture(int slots) throws Exception {
        this(slots, UpstreamOptions.defaults());
    }

    UpstreamFixture(int slots, UpstreamOptions plan) throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        server.setSoTimeout(BOUND_MILLIS);
        InetSocketAddress to = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        quay = new UpstreamDispatcher(loop, to, this::micros, plan, log::add);
        life("one", slots);
    }

    long micros() {
        return (stopped == 0 ? System.nanoTime() / 1000 : stopped) + ahead.get();
    }

    /** From now on time passes only where the test says so. */
    void stopClock() {
        stopped = System.nanoTime() / 1000;
    }

    <T> T on(Callable<T> task) throws Exception {
        return loop.inEventLoop() ? task.call() : loop.submit(task).get(BOUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    void run(Runnable task) throws Exception {
        loop.submit(task).get(BOUND_MILLIS, TimeUnit.MILLISECONDS);
    }

    void life(String instance, int slots) throws Exception {
        run(() -> quay.life(instance == null ? null : new InstanceIncarnation(instance, "shop", slots, false, 0)));
    }

    /** Moves the clock on and does what is due. */
    void later(long micros) throws Exception {
        ahead.addAndGet(micros);
        run(quay::tick);
    }

    /** A request with plenty of time, and its end. */
    final class Asked {
        final String id = "a-" + ++ids;
        final BlockingQueue<RequestOutcome> ends = new LinkedBlockingQueue<>();
        RequestHandle ticket;

        RequestOutcome end() throws InterruptedException {
            RequestOutcome outcome = ends.poll(BOUND_MILLIS, TimeUnit.MILLISECONDS);
            if (outcome == null) {
                throw new AssertionError("no end of " + id);
            }
            return outcome;
        }

        RejectionReason notRun() throws InterruptedException {
            return ((RequestOutcome.NotRun) end()).reason();
        }

        String mayHaveRun() throws InterruptedException {
            return ((RequestOutcome.MayHaveRun) end()).why();
        }

        String answered() throws InterruptedException {
            RequestOutcome outcome = end();
            if (outcome instanceof RequestOutcome.Answered a) {
                return a.status() + " " + new String(a.body(), StandardCharsets.ISO_8859_1);
            }
            throw new AssertionError(outcome + ", " + log);
        }

        void cancel() throws Exception {
            run(() -> quay.cancel(ticket));
        }
    }

    Asked ask(String method, boolean repeatable, String instance, String body) throws Exception {
        Asked asked = new Asked();
        long now = micros();
        UpstreamRequest freight = new UpstreamRequest(
                asked.id,
                method,
                "/x?y=%20",
                List.of(Map.entry("Host", "shop"), Map.entry(RequestEncoder.ATTEMPT_ID, asked.id)),
                body == null ? null : body.getBytes(StandardCharsets.ISO_8859_1),
                repeatable,
                1,
                false,
                now + 60_000_000,
                now + 90_000_000,
                instance);
        asked.ticket = on(() -> quay.take(freight, asked.ends::add));
        return asked;
    }

    Asked get() throws Exception {
        return ask("GET", true, null, null);
    }

    Asked post() throws Exception {
        return ask("POST", false, "one", "hello");
    }

    Wire accept() throws IOException {
        return new Wire(server.accept());
    }

    void close() throws Exception {
        run(quay::close);
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(BOUND_MILLIS);
    }

    /** The server's end of one connection. */
    static final class Wire {
        final Socket socket;

        Wire(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(BOUND_MILLIS);
            socket.setTcpNoDelay(true);
        }

        String head() throws IOException {
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

        String body(int length) throws IOException {
            return new String(socket.getInputStream().readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        Wire write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Whether the other side has closed, without a further byte. */
        boolean ended() {
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

    static String answer(String id, String body) {
        return answer("200 OK", id, SEAL, body);
    }

    static String answer(String status, String id, String headers, String body) {
        return head(status, id, headers) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String head(String status, String id, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + RequestEncoder.ATTEMPT_ID + ": " + id + "\r\n" + headers;
    }
}
