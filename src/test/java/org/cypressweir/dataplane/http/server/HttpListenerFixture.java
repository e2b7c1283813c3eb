package org.cypressweir.dataplane.http.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A listener, and clients that write raw bytes. The handler echoes a request; it keeps {@code /hold} pending, throws an
 * exception for {@code /fail} and sends a body of 16 MiB for {@code /large}.
 */
final class HttpListenerFixture implements AutoCloseable {

    static final RequestLimits DEFAULT_LIMITS = new RequestLimits(2_000, 100_000, 20_000, 20_000);

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    final BlockingQueue<ServerRequest> pending = new LinkedBlockingQueue<>();
    /** The requests that were handled, by the client's port. */
    final Map<Integer, List<String>> handled = new ConcurrentHashMap<>();
    /** Added to the clock, in microseconds. */
    final AtomicLong clockOffset = new AtomicLong();

    volatile RequestLimits limits;
    final HttpListener listener;

    HttpListenerFixture(RequestLimits limits) throws IOException {
        this.limits = limits;
        listener = HttpListener.open(
                group,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                () -> this.limits,
                () -> System.nanoTime() / 1000 + clockOffset.get(),
                this::handle);
    }

    private void handle(ServerRequest request) {
        String echo = request.method() + " " + request.host() + " " + request.uri() + " "
                + new String(request.body(), StandardCharsets.ISO_8859_1);
        handled.computeIfAbsent(request.remote().getPort(), p -> new CopyOnWriteArrayList<>())
                .add(echo);
        if (request.uri().equals("/hold")) {
            pending.add(request);
        } else if (request.uri().equals("/fail")) {
            throw new IllegalStateException();
        } else if (request.uri().equals("/large")) {
            request.answer(new ServerResponse(200, List.of(), new byte[16 << 20]));
        } else {
            request.answer(new ServerResponse(200, List.of(), echo.getBytes(StandardCharsets.ISO_8859_1)));
        }
    }

    ServerRequest nextPending() throws InterruptedException {
        ServerRequest request = pending.poll(20, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no request");
        }
        return request;
    }

    void runOnLoop(Runnable task) throws Exception {
        group.submit(task).get(20, TimeUnit.SECONDS);
    }

    /**
     * Waits for the next select of the event loop: only then does the runtime free the socket of a closed channel. A
     * task that the loop itself schedules runs at the start of a later iteration, never within the current one.
     */
    void awaitNextSelect() throws Exception {
        CompletableFuture<Void> selected = new CompletableFuture<>();
        EventLoop loop = group.next();
        loop.execute(() -> loop.schedule(() -> selected.complete(null), 0, TimeUnit.NANOSECONDS));
        selected.get(20, TimeUnit.SECONDS);
    }

    Client client() throws IOException {
        return new Client(listener.address());
    }

    @Override
    public void close() {
        listener.close();
        group.shutdownGracefully(0, 5, TimeUnit.SECONDS);
    }

    /** A client that writes raw bytes. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        private final InputStream in;

        Client(InetSocketAddress address) throws IOException {
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
            socket.setTcpNoDelay(true);
            in = socket.getInputStream();
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Status line and headers, up to the empty line; empty at the end of stream. */
        String readHead() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int b = in.read();
                if (b < 0) {
                    return head.toString();
                }
                head.append((char) b);
            }
            return head.toString();
        }

        /** The body of the next response, which has a length and status 200. */
        String readBody() throws IOException {
            String head = readHead();
            int lengthStart = head.toLowerCase().indexOf("content-length: ");
            if (!head.startsWith("HTTP/1.1 200 OK\r\n") || lengthStart < 0) {
                throw new AssertionError("response " + head);
            }
            int length = Integer.parseInt(head.substring(lengthStart + 16, head.indexOf('\r', lengthStart)));
            return new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        }

        /** All bytes up to the end of stream. */
        String readAll() throws IOException {
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
