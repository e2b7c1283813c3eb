package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests lost during a long turn of the event loop, as on a machine short of CPU: input that clients
 * send meanwhile is still in the kernel when the loop checks which connections to close. Each of these cases lost
 * requests before the kernel's input was read first. The clock is simulated; the service itself prolongs the turn.
 */
@Timeout(60)
class ClosingTest implements ClientListener.Service {

    private static final int MAX_CONNECTIONS = 8;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong nanos = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<Harness.Client> clients = new ArrayList<>();
    private ClientListener server;
    private ClientListener.ListeningSocket socket;
    private CountDownLatch turnHeld;
    private CountDownLatch release;
    private Runnable endOfTurn;

    /** What the event loop does in the same turn, after reading the input it knew of. */
    private enum Check {
        SWEEP,
        END,
        ALL
    }

    @BeforeEach
    void listen() throws Exception {
        server = loop.submit(() -> new ClientListener(loop, this, MAX_CONNECTIONS, line -> {}, nanos::get))
                .get();
        socket = loop.submit(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
                .get()
                .get(10, TimeUnit.SECONDS);
    }

    @AfterEach
    void close() throws Exception {
        for (Harness.Client client : clients) {
            client.close();
        }
        loop.submit(server::close).get();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await(5, TimeUnit.SECONDS);
    }

    @Override
    public boolean ready() {
        return true;
    }

    /** The request for /hold blocks the event loop; the task that it queues runs at the end of that turn. */
    @Override
    public void take(FullHttpRequest http, ClientRequest.Client client) {
        if (http.uri().startsWith("/hold")) {
            turnHeld.countDown();
            awaitQuietly(release);
            loop.execute(endOfTurn);
        }
        client.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void clientLeft(ClientRequest.Client client) {}

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Harness.Client client() throws Exception {
        Harness.Client client = new Harness.Client(socket.address());
        clients.add(client);
        return client;
    }

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Waits until the event loop has accepted all earlier connections, by completing a request on a new one. */
    private Harness.Client clientWithResponse() throws Exception {
        Harness.Client client = client().raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        assertEquals(200, client.answer().status());
        return client;
    }

    /**
     * In one turn of the event loop, clients write, time passes, and then the loop checks which connections to close.
     */
    private void runTurn(Harness.Client holder, List<Harness.Client> writers, long millis, Runnable check)
            throws Exception {
        turnHeld = new CountDownLatch(1);
        release = new CountDownLatch(1);
        endOfTurn = check;
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(turnHeld);
        for (Harness.Client writer : writers) {
            writer.raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        }
        advance(millis);
        release.countDown();
        assertEquals(200, holder.answer().status());
    }

    private Runnable check(Check kind) {
        return switch (kind) {
            case SWEEP -> () -> server.sweep();
            case END -> () -> server.continueClosing(socket, ended::countDown);
            case ALL -> () -> {
                server.sweep();
                server.continueClosing(socket, ended::countDown);
            };
        };
    }

    @ParameterizedTest
    @CsvSource({"SWEEP, 250", "SWEEP, 5100", "END, 150", "ALL, 5100"})
    void requestOnAKeptAliveConnectionIsReadBeforeClosing(Check kind, long millis) throws Exception {
        Harness.Client holder = clientWithResponse();
        List<Harness.Client> kept = new ArrayList<>();
        while (kept.size() < MAX_CONNECTIONS - 2) {
            kept.add(clientWithResponse());
        }
        advance(150);
        runTurn(holder, kept, millis, check(kind));
        for (Harness.Client client : kept) {
            assertEquals(200, client.answer().status());
        }
    }

    @ParameterizedTest
    @CsvSource({"SWEEP, 150", "SWEEP, 2100", "END, 150", "ALL, 2100"})
    void firstRequestIsReadBeforeItsConnectionIsClosed(Check kind, long millis) throws Exception {
        Harness.Client holder = client();
        List<Harness.Client> silent = new ArrayList<>();
        while (silent.size() < MAX_CONNECTIONS - 2) {
            silent.add(client());
        }
        clientWithResponse();
        runTurn(holder, silent, millis, check(kind));
        for (Harness.Client client : silent) {
            assertEquals(200, client.answer().status());
        }
    }

    /** The rest of a request is in the kernel's buffer when its time-out passes. */
    @Test
    void restOfARequestIsReadBeforeItTimesOut() throws Exception {
        Harness.Client holder = clientWithResponse();
        String head = Harness.Client.head("GET", "/search/k", 1_000, "", 0);
        Harness.Client slow = client().raw(head.substring(0, 20));
        clientWithResponse();
        turnHeld = new CountDownLatch(1);
        release = new CountDownLatch(1);
        endOfTurn = server::sweep;
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(turnHeld);
        slow.raw(head.substring(20));
        advance(2_100);
        release.countDown();
        assertEquals(200, slow.answer().status());
    }

    /** Connections not accepted yet when the listening socket closes would be reset and their requests lost. */
    @ParameterizedTest
    @EnumSource(
            value = Check.class,
            names = {"END", "ALL"})
    void pendingConnectionsAreAcceptedBeforeTheSocketCloses(Check kind) throws Exception {
        Harness.Client holder = clientWithResponse();
        advance(150);
        turnHeld = new CountDownLatch(1);
        release = new CountDownLatch(1);
        endOfTurn = check(kind);
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(turnHeld);
        Harness.Client late = client().raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        advance(150);
        release.countDown();
        assertEquals(200, late.answer().status());
    }

    /** The listener of a warm-up closes while a client sends a request: what has arrived is answered. */
    @Test
    void receivedRequestsAreAnsweredBeforeEverythingIsClosed() throws Exception {
        Harness.Client holder = clientWithResponse();
        Harness.Client silent = client();
        clientWithResponse();
        runTurn(holder, List.of(silent), 0, server::close);
        assertEquals(200, silent.answer().status());
        silent.assertClosed();
    }

    /**
     * At the connection limit, an idle connection that had a response is evicted before one whose first request may be
     * on its way.
     */
    @Test
    void idleConnectionIsEvictedBeforeASilentOne() throws Exception {
        Harness.Client kept = clientWithResponse();
        List<Harness.Client> silent = new ArrayList<>();
        while (silent.size() < MAX_CONNECTIONS - 1) {
            silent.add(client());
        }
        advance(150);
        kept.assertClosed();
        for (Harness.Client client : silent) {
            assertEquals(
                    200,
                    client.raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0))
                            .answer()
                            .status());
        }
    }

    /** Closing the listening socket does not cut off a partly received request. */
    @Test
    void partialRequestKeepsItsTimeoutWhenTheSocketCloses() throws Exception {
        String head = Harness.Client.head("GET", "/search/k", 1_000, "", 0);
        Harness.Client slow = client().raw(head.substring(0, 20));
        clientWithResponse();
        advance(150);
        loop.submit(() -> server.continueClosing(socket, ended::countDown)).get();
        assertEquals(200, slow.raw(head.substring(20)).answer().status());
        advance(600);
        assertTrue(ended.await(30, TimeUnit.SECONDS));
    }
}
