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
 * A turn of the loop that is long, as on a machine short of processor: what clients write meanwhile lies in
 * the kernel when the loop comes to look which connections may go. Each of these lost requests before what
 * the kernel holds was read first. Time is made up; the turn is held by the service itself.
 */
@Timeout(60)
class ClosingTest implements ClientListener.Service {

    private static final int MOST = 8;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong nanos = new AtomicLong(TimeUnit.SECONDS.toNanos(100));
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<Harness.Client> clients = new ArrayList<>();
    private ClientListener server;
    private ClientListener.ListeningSocket door;
    private CountDownLatch held;
    private CountDownLatch go;
    private Runnable meanwhile;

    /** What the loop does in the same turn, after it has read what it knew of. */
    private enum Look {
        SWEEP,
        END,
        ALL
    }

    @BeforeEach
    void listen() throws Exception {
        server = loop.submit(() -> new ClientListener(loop, this, MOST, line -> {}, nanos::get))
                .get();
        door = loop.submit(() -> server.listen(new InetSocketAddress("127.0.0.1", 0)))
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

    /** The request of /hold keeps the loop in its turn; what it queues runs in that turn's end. */
    @Override
    public void take(FullHttpRequest http, ClientRequest.Client client) {
        if (http.uri().startsWith("/hold")) {
            held.countDown();
            awaitQuietly(go);
            loop.execute(meanwhile);
        }
        client.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void left(ClientRequest.Client client) {}

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(30, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Harness.Client client() throws Exception {
        Harness.Client client = new Harness.Client(door.address());
        clients.add(client);
        return client;
    }

    private void pass(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Waits until the loop has accepted all that have connected, told by a request that goes round. */
    private Harness.Client asked() throws Exception {
        Harness.Client client = client().raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        assertEquals(200, client.answer().status());
        return client;
    }

    /** In one turn of the loop: clients write, time passes, and then the loop looks what may go. */
    private void turn(Harness.Client holder, List<Harness.Client> writers, long millis, Runnable look)
            throws Exception {
        held = new CountDownLatch(1);
        go = new CountDownLatch(1);
        meanwhile = look;
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(held);
        for (Harness.Client writer : writers) {
            writer.raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        }
        pass(millis);
        go.countDown();
        assertEquals(200, holder.answer().status());
    }

    private Runnable look(Look how) {
        return switch (how) {
            case SWEEP -> () -> server.sweep();
            case END -> () -> server.endQuietly(door, ended::countDown);
            case ALL -> () -> {
                server.sweep();
                server.endQuietly(door, ended::countDown);
            };
        };
    }

    @ParameterizedTest
    @CsvSource({"SWEEP, 250", "SWEEP, 5100", "END, 150", "ALL, 5100"})
    void requestOnAKeptConnectionIsReadBeforeItGoes(Look how, long millis) throws Exception {
        Harness.Client holder = asked();
        List<Harness.Client> kept = new ArrayList<>();
        while (kept.size() < MOST - 2) {
            kept.add(asked());
        }
        pass(150);
        turn(holder, kept, millis, look(how));
        for (Harness.Client client : kept) {
            assertEquals(200, client.answer().status());
        }
    }

    @ParameterizedTest
    @CsvSource({"SWEEP, 150", "SWEEP, 2100", "END, 150", "ALL, 2100"})
    void firstRequestIsReadBeforeItsConnectionGoes(Look how, long millis) throws Exception {
        Harness.Client holder = client();
        List<Harness.Client> silent = new ArrayList<>();
        while (silent.size() < MOST - 2) {
            silent.add(client());
        }
        asked();
        turn(holder, silent, millis, look(how));
        for (Harness.Client client : silent) {
            assertEquals(200, client.answer().status());
        }
    }

    /** The rest of a request lies in the kernel when its time is up. */
    @Test
    void restOfARequestIsReadBeforeItIsCalledLate() throws Exception {
        Harness.Client holder = asked();
        String head = Harness.Client.head("GET", "/search/k", 1_000, "", 0);
        Harness.Client slow = client().raw(head.substring(0, 20));
        asked();
        held = new CountDownLatch(1);
        go = new CountDownLatch(1);
        meanwhile = server::sweep;
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(held);
        slow.raw(head.substring(20));
        pass(2_100);
        go.countDown();
        assertEquals(200, slow.answer().status());
    }

    /** Those that wait to be accepted when the door shuts would be reset with what they have written. */
    @ParameterizedTest
    @EnumSource(
            value = Look.class,
            names = {"END", "ALL"})
    void thoseThatHaveConnectedAreAcceptedBeforeTheDoorShuts(Look how) throws Exception {
        Harness.Client holder = asked();
        pass(150);
        held = new CountDownLatch(1);
        go = new CountDownLatch(1);
        meanwhile = look(how);
        holder.raw(Harness.Client.head("GET", "/hold/k", 1_000, "", 0));
        awaitQuietly(held);
        Harness.Client late = client().raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0));
        pass(150);
        go.countDown();
        assertEquals(200, late.answer().status());
    }

    /** A restart's rehearsal ends while somebody asks: what has come is answered. */
    @Test
    void whatHasComeIsAnsweredBeforeAllIsClosed() throws Exception {
        Harness.Client holder = asked();
        Harness.Client silent = client();
        asked();
        turn(holder, List.of(silent), 0, server::close);
        assertEquals(200, silent.answer().status());
        silent.assertClosed();
    }

    /** In a full house one that was answered goes before one whose first request may be on its way. */
    @Test
    void keptConnectionMakesRoomBeforeASilentOne() throws Exception {
        Harness.Client kept = asked();
        List<Harness.Client> silent = new ArrayList<>();
        while (silent.size() < MOST - 1) {
            silent.add(client());
        }
        pass(150);
        kept.assertClosed();
        for (Harness.Client client : silent) {
            assertEquals(
                    200,
                    client.raw(Harness.Client.head("GET", "/search/k", 1_000, "", 0))
                            .answer()
                            .status());
        }
    }

    /** A door that ends does not cut off a request that has begun to come. */
    @Test
    void requestInPartHasItsTimeWhenTheDoorEnds() throws Exception {
        String head = Harness.Client.head("GET", "/search/k", 1_000, "", 0);
        Harness.Client slow = client().raw(head.substring(0, 20));
        asked();
        pass(150);
        loop.submit(() -> server.endQuietly(door, ended::countDown)).get();
        assertEquals(200, slow.raw(head.substring(20)).answer().status());
        pass(600);
        assertTrue(ended.await(30, TimeUnit.SECONDS));
    }
}
