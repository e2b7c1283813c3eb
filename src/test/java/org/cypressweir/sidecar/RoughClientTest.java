package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.testkit.PeerStub;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that send more than was asked for, and clients that send invalid input. */
@Timeout(60)
class RoughClientTest extends Loopback {

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

    private Harness sidecar(PeerStub... servers) throws Exception {
        Harness harness = new Harness(folder, servers);
        open.add(harness);
        return harness.start();
    }

    /** Sends the second request from within the event that completes the first. */
    private static final class ChainedSends extends NoOpLoadBalancer {
        private final Actions actions;
        private final List<String> requestIds = new ArrayList<>();
        private long server;

        ChainedSends(Actions actions) {
            this.actions = actions;
        }

        @Override
        public void servers(long nowMicros, ListKind kind, List<LoadBalancer.Server> list) {
            if (!list.isEmpty()) {
                server = list.get(0).id();
            }
        }

        @Override
        public void request(long nowMicros, LoadBalancer.Request request) {
            requestIds.add(request.id());
            if (requestIds.size() == 1) {
                actions.send(request.id(), server, 0);
            }
        }

        @Override
        public void outcome(long nowMicros, LoadBalancer.Outcome outcome) {
            if (requestIds.size() == 2 && outcome.requestId().equals(requestIds.get(0))) {
                actions.send(requestIds.get(1), server, 0);
            }
        }
    }

    /** A duplicate or garbage directly after a response was taken for the response to the next request. */
    @ParameterizedTest
    @ValueSource(strings = {RESPONSE + "copy", "noise", "noise\r\n\r\n", "HTTP/1.1 200 OK\r\n"})
    void bytesAfterAResponseAreNotTakenForAnotherResponse(String trailing) throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        Harness harness = new Harness(folder, server);
        open.add(harness);
        harness.start((settings, actions) -> new ChainedSends(actions));
        Harness.Client first = harness.client().search(5_000);
        PeerStub.ReceivedRequest one = server.take();
        Harness.Client second = harness.client().search(5_000);
        // Connections are read in order, so this rejection shows that the previous request was read.
        assertEquals(400, harness.client().raw("x\r\n\r\n").answer().status());
        one.raw(RESPONSE + "mine" + trailing);
        assertEquals("mine", first.answer().body());
        server.take().reply("200 OK", "", "other");
        assertEquals("other", second.answer().body());
    }

    @Test
    void byteOnAnIdleServerConnectionClosesIt() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        assertEquals(200, sidecar(server).client().search(2_000).answer().status());
        server.take().raw("x");
        server.awaitEnd();
    }

    @Test
    void informationalResponsesAreSkipped() throws Exception {
        PeerStub server = server(seen -> {
            seen.raw("HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 102 On it\r\n\r\n");
            seen.reply("200 OK", "Server-Load: {\r\nServer-Load: TEXT cpu=0.5\r\n", "ok");
        });
        assertEquals("ok", sidecar(server).client().book("x", 2_000).answer().body());
    }

    /** No part of these requests reaches a server: their real end differs from the declared one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 1\r\n\r\nxx",
                "Content-Length: 1\r\n\r\nxPOST /book/k HTTP/1.1\r\n",
                "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
                "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
                "Content-Length: 1, 1\r\n\r\nx",
                "Content-Length: -1\r\n\r\n",
                "Content-Length: +1\r\n\r\nx",
                "Content-Length: 99999999999999999999\r\n\r\n",
                "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /book/k HTTP/1.1\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\n\r\n",
                "no colon\r\n\r\n",
            })
    void ambiguouslyFramedRequestIsRejected(String rest) throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness.Client client = sidecar(server).client();
        String head = Harness.Client.head("POST", "/book/k1", 2_000, "", 0);
        client.raw(head.substring(0, head.length() - 2) + rest);
        assertEquals(400, client.answer().status());
        client.assertClosed();
        assertTrue(server.received.isEmpty());
    }

    /** Further bytes while the request is in flight reject it, and its attempt is cancelled. */
    @Test
    void bytesAfterARequestInFlightRejectIt() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        Harness.Client client = sidecar(server).client().search(2_000);
        server.take();
        client.search(2_000);
        assertEquals(400, client.answer().status());
        client.assertClosed();
        server.awaitEnd();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "GET /search/k HTTP/1.1\r\nHost: a\r\n",
                "POST /book/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"
            })
    void incompleteRequestTimesOut(String part) throws Exception {
        Harness.Client client = sidecar(server(PeerStub.SILENT)).client().raw(part);
        long since = System.nanoTime();
        if (!part.isEmpty()) {
            assertEquals(408, client.answer().status());
        }
        client.assertClosed();
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 4_500);
    }

    /** The response was lost to a reset when the connection was closed with bytes of the body unread. */
    @Test
    void clientThatSendsTooMuchCanReadItsRejection() throws Exception {
        Harness.Client client = sidecar(server(PeerStub.SILENT)).client();
        client.raw(Harness.Client.head("POST", "/book/k1", 2_000, "", 32 * 1024 * 1024 + 1));
        byte[] some = new byte[1024 * 1024];
        for (int i = 0; i < 32; i++) {
            client.socket.getOutputStream().write(some);
        }
        assertEquals(413, client.answer().status());
        client.assertClosed();
    }

    /** Silent clients used up the connection limit, and no room was made until one of them disconnected. */
    @Test
    void silentClientsDoNotBlockOthers() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness harness = new Harness(folder, 250_000, 128, server);
        open.add(harness);
        harness.start();
        for (int i = 0; i < harness.config().clientConnections() + 20; i++) {
            harness.client();
        }
        long since = System.nanoTime();
        assertEquals(200, harness.client().search(5_000).answer().status());
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 1_500);
    }

    /**
     * When one connection was accepted per turn of a slow event loop, clients timed out in the kernel's queue. A task
     * that is due in each turn counts the turns and makes each long enough for the clients to read.
     */
    @Test
    void waitingClientsAreAcceptedTogetherOnASlowEventLoop() throws Exception {
        Harness harness = sidecar(server(PeerStub.serves("ok")));
        AtomicInteger turns = new AtomicInteger();
        CountDownLatch connected = new CountDownLatch(1);
        harness.loop.execute(() -> {
            try {
                connected.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            harness.loop.scheduleWithFixedDelay(
                    () -> {
                        turns.incrementAndGet();
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
                    },
                    0,
                    1,
                    TimeUnit.NANOSECONDS);
        });
        List<Harness.Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(harness.client().raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n"));
        }
        connected.countDown();
        for (Harness.Client client : clients) {
            assertEquals(200, client.answer().status());
        }
        assertTrue(turns.get() < 40, turns + " turns");
    }

    /**
     * Clients that send one request and keep the connection used up the client limit until the regular idle time-out.
     */
    @Test
    void idleClientsAreClosedSoonAboveHalfOfTheLimit() throws Exception {
        Harness harness = new Harness(folder, 250_000, 128, server(PeerStub.serves("ok")));
        open.add(harness);
        harness.start();
        int half = harness.config().clientConnections() / 2;
        List<Harness.Client> clients = new ArrayList<>();
        for (int i = 0; i < half + 5; i++) {
            clients.add(harness.client().search(5_000));
            assertEquals(200, clients.get(i).answer().status());
        }
        long since = System.nanoTime();
        for (Harness.Client longest : clients.subList(0, 5)) {
            longest.assertClosed();
        }
        assertTrue(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since) < 3_000);
        for (Harness.Client kept : clients.subList(5, clients.size())) {
            assertEquals(200, kept.search(5_000).answer().status());
        }
    }

    @Test
    void errorInTheLoadBalancerIsAnswered() throws Exception {
        Harness harness = new Harness(folder);
        open.add(harness);
        harness.start((settings, actions) -> new NoOpLoadBalancer() {
            @Override
            public void request(long nowMicros, LoadBalancer.Request request) {
                throw new StackOverflowError();
            }
        });
        assertEquals(500, harness.client().search(2_000).answer().status());
        assertEquals(500, harness.client().search(2_000).answer().status());
    }

    @Test
    void longEndpointListIsAccepted() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness harness = new Harness(folder);
        open.add(harness);
        List<PeerStub> many = new ArrayList<>();
        for (int i = 0; i < 900; i++) {
            many.add(server);
        }
        String list = Harness.json(Harness.list(2, true, "in_service", many.toArray(new PeerStub[0])));
        assertTrue(list.length() > ServerConnection.MAX_BODY_BYTES);
        harness.discovery.script(seen -> {
            if (seen.request().firstLine().contains("from=1&")) {
                seen.reply("200 OK", "", list);
            }
        });
        harness.start();
        harness.discovery.take();
        harness.discovery.take();
        assertEquals(200, harness.client().search(2_000).answer().status());
    }
}
