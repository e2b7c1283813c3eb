package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.LoadReport;
import org.cypressweir.loadbalancing.LoadBalancer.Request;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.loadbalancing.LoadBalancer.Terms;
import org.cypressweir.sidecar.ClientRequest.Attempt;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The pool alone: what the module's own limits would keep a whole sidecar from reaching. */
@Timeout(60)
class ServerPoolTest extends Loopback {

    private static final long CONNECT_MICROS = 20_000_000;

    private final BlockingQueue<Result> results = new LinkedBlockingQueue<>();
    private final SidecarClock clock = new SidecarClock();
    private LoadReport lastReport;
    private Harness harness;
    private ServerPool pool;

    private void start(int sockets, PeerStub... servers) throws Exception {
        harness = new Harness(folder, CONNECT_MICROS, sockets, servers);
        open.add(harness);
        SidecarConfiguration config = harness.config();
        pool = harness.loop
                .submit(() ->
                        new ServerPool(harness.loop, clock, config, config.serverConnections(), null, this::ended))
                .get();
        update(Harness.list(1, true, "in_service", servers));
    }

    private void ended(Attempt attempt, Result result, LoadReport report, FullHttpResponse answer) {
        attempt.result = result;
        lastReport = report;
        results.add(result);
    }

    private void update(String list) throws Exception {
        SidecarConfiguration config = harness.config();
        harness.loop
                .submit(() -> {
                    pool.update(config.lists().read(Harness.json(list).getBytes()));
                    return null;
                })
                .get();
    }

    private Attempt send(int port) throws Exception {
        long now = clock.micros();
        Request request = new Request(Harness.Client.id(), 0, 0, false, -1, now + 60_000_000, 0, false);
        ClientRequest call = new ClientRequest(
                request,
                new RouteDecision(null, 0, "/search", null, Long.MAX_VALUE, Terms.NONE, null),
                "search",
                HttpMethod.GET,
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER,
                null);
        Attempt attempt = new Attempt(call, Ids.of("s-" + port), now, request.deadlineMicros());
        harness.loop.submit(() -> pool.start(attempt)).get();
        return attempt;
    }

    private Result result() throws InterruptedException {
        Result result = results.poll(20, TimeUnit.SECONDS);
        assertNotNull(result, "no attempt ended");
        return result;
    }

    /** Until connections that have just brought an answer may be used again. */
    private void settle() throws InterruptedException {
        assertNull(results.poll(2 * ServerPool.SETTLE_MICROS, TimeUnit.MICROSECONDS));
    }

    @Test
    void pastTheBoundThereIsNoConnection() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        start(128, server);
        int bound = harness.config().serverConnections();
        for (int i = 0; i < bound; i++) {
            send(server.port());
            server.take();
        }
        send(server.port());
        assertEquals(Result.NO_CONNECTION, result());
        assertEquals(bound, server.accepted.get());
    }

    @Test
    void idleConnectionsMakeRoom() throws Exception {
        PeerStub first = server(PeerStub.serves("ok"));
        PeerStub second = server(PeerStub.SILENT);
        start(128, first, second);
        send(first.port());
        assertEquals(Result.SERVED, result());
        for (int i = 0; i < harness.config().serverConnections(); i++) {
            send(second.port());
            second.take();
        }
        first.awaitEnd();
        assertTrue(results.isEmpty());
    }

    @Test
    void outcomesAreToldApart() throws Exception {
        PeerStub server =
                server(PeerStub.answers("200 OK", "Server-Load: TEXT cpu=0.5, x=1, rps=-3, err_rps=y\r\n", "ok"));
        start(1024, server);
        send(server.port());
        assertEquals(Result.SERVED, result());
        assertEquals(0.5, lastReport.utilization());
        assertTrue(Double.isNaN(lastReport.rate()) && Double.isNaN(lastReport.errorRate()));
        server.script(PeerStub.answers("500 No", "", ""));
        send(server.port());
        assertEquals(Result.ERROR, result());
        assertNull(lastReport);
        server.script(PeerStub.answers("504 Over", "Not-Started: 1\r\n", ""));
        send(server.port());
        assertEquals(Result.FULL, result());
        server.script(PeerStub.HANG_UP);
        send(server.port());
        assertEquals(Result.BROKEN, result());
        server.close();
        send(server.port());
        assertEquals(Result.NO_CONNECTION, result());
    }

    @Test
    void mostRecentConnectionIsUsedFirst() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        start(1024, server);
        send(server.port());
        PeerStub.Seen first = server.take();
        send(server.port());
        PeerStub.Seen second = server.take();
        second.reply("200 OK", "", "");
        assertEquals(Result.SERVED, result());
        first.reply("200 OK", "", "");
        assertEquals(Result.SERVED, result());
        settle();
        send(server.port());
        assertEquals(first.socket(), server.take().socket());
    }

    @Test
    void answerThatEndsTheConnectionIsNotFollowed() throws Exception {
        PeerStub server = server(PeerStub.answers("200 OK", "Connection: close\r\n", "ok"));
        start(1024, server);
        send(server.port());
        assertEquals(Result.SERVED, result());
        server.awaitEnd();
        send(server.port());
        assertEquals(Result.SERVED, result());
        assertEquals(2, server.accepted.get());
    }

    /** A listening socket whose queue is full: connections to it come up only once it accepts. */
    private static final class Jammed implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> filling = new ArrayList<>();

        Jammed() throws IOException {
            try {
                while (filling.size() < 20) {
                    Socket next = new Socket();
                    filling.add(next);
                    next.connect(socket.getLocalSocketAddress(), 300);
                }
            } catch (SocketTimeoutException e) {
                return;
            }
            throw new IOException("the queue never filled up");
        }

        /** Closes what fills the queue and gives the connection that comes up then. */
        Socket acceptNext() throws IOException {
            for (int i = 0; i < filling.size() - 1; i++) {
                socket.accept().close();
            }
            return socket.accept();
        }

        @Override
        public void close() throws IOException {
            for (Socket s : filling) {
                s.close();
            }
            socket.close();
        }
    }

    private String jammedList(int revision, String state, Jammed jammed) {
        return Harness.list(revision, true, state)
                .replace(
                        "[]",
                        "[{'uid':'s-" + jammed.socket.getLocalPort() + "','endpoint':'127.0.0.1:"
                                + jammed.socket.getLocalPort() + "','state':'" + state + "'}]");
    }

    /** A connection that comes up after the drain grace: the decision to use it is out of date. */
    @Test
    void nothingIsWrittenPastTheDrainGrace() throws Exception {
        Jammed jammed = new Jammed();
        open.add(jammed);
        start(1024);
        update(jammedList(1, "in_service", jammed));
        Attempt attempt = send(jammed.socket.getLocalPort());
        update(jammedList(2, "terminating", jammed));
        assertNull(results.poll(harness.config().drainGraceMicros() + 50_000, TimeUnit.MICROSECONDS));
        Socket up = jammed.acceptNext();
        assertEquals(Result.NOT_SENT, result());
        assertFalse(attempt.written);
        assertEquals(-1, up.getInputStream().read());
    }

    /** The same within the grace: what was decided before may still be sent. */
    @Test
    void withinTheDrainGraceADecisionHolds() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        start(1024, server);
        update(Harness.list(2, true, "terminating", server));
        send(server.port());
        assertEquals(Result.SERVED, result());
    }

    @Test
    void requestThatIsOverIsNotWritten() throws Exception {
        Jammed jammed = new Jammed();
        open.add(jammed);
        start(1024);
        update(jammedList(1, "in_service", jammed));
        Attempt attempt = send(jammed.socket.getLocalPort());
        attempt.call.over = true;
        Socket up = jammed.acceptNext();
        assertEquals(Result.NOT_SENT, result());
        harness.loop.submit(pool::close).get();
        assertEquals(-1, up.getInputStream().read());
    }
}
