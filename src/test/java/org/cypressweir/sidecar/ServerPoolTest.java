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
import org.cypressweir.loadbalancing.LoadBalancer.RequestPolicy;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.cypressweir.sidecar.ClientRequest.Attempt;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the pool alone, in cases that the load balancer's own limits would keep a whole sidecar from reaching. */
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
                    pool.update(config.listReader().read(Harness.json(list).getBytes()));
                    return null;
                })
                .get();
    }

    private Attempt send(int port) throws Exception {
        long now = clock.micros();
        Request request = new Request(Harness.Client.id(), 0, 0, false, -1, now + 60_000_000, 0, false);
        ClientRequest call = new ClientRequest(
                request,
                new RouteDecision(null, 0, "/search", null, Long.MAX_VALUE, RequestPolicy.NONE, null),
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

    /** Waits until connections that have just received a response may be reused. */
    private void awaitReusable() throws InterruptedException {
        assertNull(results.poll(2 * ServerPool.REUSE_DELAY_MICROS, TimeUnit.MICROSECONDS));
    }

    @Test
    void attemptPastConnectionLimitFails() throws Exception {
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
    void idleConnectionIsClosedToMakeRoom() throws Exception {
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
    void responsesMapToResults() throws Exception {
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
        PeerStub.ReceivedRequest first = server.take();
        send(server.port());
        PeerStub.ReceivedRequest second = server.take();
        second.reply("200 OK", "", "");
        assertEquals(Result.SERVED, result());
        first.reply("200 OK", "", "");
        assertEquals(Result.SERVED, result());
        awaitReusable();
        send(server.port());
        assertEquals(first.socket(), server.take().socket());
    }

    @Test
    void connectionIsNotReusedAfterConnectionClose() throws Exception {
        PeerStub server = server(PeerStub.answers("200 OK", "Connection: close\r\n", "ok"));
        start(1024, server);
        send(server.port());
        assertEquals(Result.SERVED, result());
        server.awaitEnd();
        send(server.port());
        assertEquals(Result.SERVED, result());
        assertEquals(2, server.accepted.get());
    }

    /** A listening socket whose backlog is full: further connections to it open only once it accepts. */
    private static final class FullBacklogSocket implements AutoCloseable {
        final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> filling = new ArrayList<>();

        FullBacklogSocket() throws IOException {
            try {
                while (filling.size() < 20) {
                    Socket next = new Socket();
                    filling.add(next);
                    next.connect(socket.getLocalSocketAddress(), 300);
                }
            } catch (SocketTimeoutException e) {
                return;
            }
            throw new IOException("the backlog never filled up");
        }

        /** Accepts and closes the connections that fill the backlog, and returns the one that opens then. */
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

    private String listOf(int revision, String state, FullBacklogSocket fullBacklog) {
        return Harness.list(revision, true, state)
                .replace(
                        "[]",
                        "[{'uid':'s-" + fullBacklog.socket.getLocalPort() + "','endpoint':'127.0.0.1:"
                                + fullBacklog.socket.getLocalPort() + "','state':'" + state + "'}]");
    }

    /** The connection opens after the drain grace, so the decision to use it is out of date. */
    @Test
    void attemptIsNotWrittenAfterDrainGrace() throws Exception {
        FullBacklogSocket fullBacklog = new FullBacklogSocket();
        open.add(fullBacklog);
        start(1024);
        update(listOf(1, "in_service", fullBacklog));
        Attempt attempt = send(fullBacklog.socket.getLocalPort());
        update(listOf(2, "terminating", fullBacklog));
        assertNull(results.poll(harness.config().drainGraceMicros() + 50_000, TimeUnit.MICROSECONDS));
        Socket up = fullBacklog.acceptNext();
        assertEquals(Result.NOT_SENT, result());
        assertFalse(attempt.written);
        assertEquals(-1, up.getInputStream().read());
    }

    /** Within the drain grace an attempt that was decided before the drain may still be sent. */
    @Test
    void attemptIsSentWithinDrainGrace() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        start(1024, server);
        update(Harness.list(2, true, "terminating", server));
        send(server.port());
        assertEquals(Result.SERVED, result());
    }

    @Test
    void attemptOfEndedRequestIsNotWritten() throws Exception {
        FullBacklogSocket fullBacklog = new FullBacklogSocket();
        open.add(fullBacklog);
        start(1024);
        update(listOf(1, "in_service", fullBacklog));
        Attempt attempt = send(fullBacklog.socket.getLocalPort());
        attempt.call.finished = true;
        Socket up = fullBacklog.acceptNext();
        assertEquals(Result.NOT_SENT, result());
        harness.loop.submit(pool::close).get();
        assertEquals(-1, up.getInputStream().read());
    }
}
