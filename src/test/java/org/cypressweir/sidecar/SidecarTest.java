package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.cypressweir.common.util.Addresses;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The complete sidecar with real sockets. */
@Timeout(60)
class SidecarTest extends Loopback {

    private Harness sidecar(PeerStub... servers) throws Exception {
        Harness harness = new Harness(folder, servers);
        open.add(harness);
        return harness.start();
    }

    @Test
    void responseIsForwardedUnchanged() throws Exception {
        PeerStub server = server(
                PeerStub.answers("200 OK", "Content-Type: text/x\r\nServer-Load: TEXT cpu=0.5\r\n", "\u00ff\0b"));
        RawHttpClient.Message answer =
                sidecar(server).client().book("slot=7", 2_000).answer();
        assertEquals(200, answer.status());
        assertEquals("\u00ff\0b", answer.body());
        assertEquals("text/x", answer.headers().get("Content-Type"));
        assertNull(answer.headers().get("Server-Load"));
        RawHttpClient.Message sent = server.take().request();
        assertEquals("POST /book/k1?x=1 HTTP/1.1", sent.firstLine());
        assertEquals("slot=7", sent.body());
        assertEquals(16, sent.headers().get("Request-Id").length());
        long timeoutMillis = Long.parseLong(sent.headers().get("Request-Timeout-Ms"));
        assertTrue(timeoutMillis > 1_000 && timeoutMillis < 2_000, "told the server " + timeoutMillis);
    }

    @Test
    void idempotencyKeyIsForwarded() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        String head = Harness.Client.head("POST", "/hold/k1", 2_000, "Idempotency-Key: abc\r\n", 2);
        assertEquals(200, sidecar(server).client().raw(head + "{}").answer().status());
        assertEquals("abc", server.take().request().headers().get("Idempotency-Key"));
    }

    /**
     * After each of these responses the request may have run, so a request that is not idempotent fails and is never
     * retried.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 500 No\\r\\nContent-Length: 0\\r\\n\\r\\n | false",
                "HTTP/1.1 503 No\\r\\nContent-Length: 0\\r\\n\\r\\n | false",
                "HTTP/1.1 429 No\\r\\nContent-Length: 0\\r\\nNot-Started: 1\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 9\\r\\n\\r\\nshort | true",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nshort\\r\\n | true",
                "HTTP/1.1 200 OK\\r\\n\\r\\nends with the connection | true",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 67108865\\r\\n\\r\\n | false",
                "no HTTP at all\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nno colon\\r\\nContent-Length: 2\\r\\n\\r\\nok | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\nContent-Length: 3\\r\\n\\r\\nok | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: -1\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\n | false",
                "HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 2\\r\\n\\r\\n0\\r\\n"
                        + "\\r\\n | false",
                "HTTP/1.1 101 Other\\r\\nUpgrade: x\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n"
                        + "\\r\\n | false",
                "'' | true",
            })
    void nonIdempotentRequestThatMayHaveRunFails(String text, boolean hangUp) throws Exception {
        PeerStub.Script script = seen -> {
            seen.raw(text.strip().replace("\\r", "\r").replace("\\n", "\n"));
            if (hangUp) {
                seen.socket().close();
            }
        };
        PeerStub one = server(script);
        PeerStub two = server(script);
        RawHttpClient.Message answer =
                sidecar(one, two).client().book("x", 1_000).answer();
        assertEquals(502, answer.status());
        assertEquals(1, one.received.size() + two.received.size());
    }

    @Test
    void nonIdempotentRequestThatWasNotStartedIsRetriedOnAnotherServer() throws Exception {
        for (String status : List.of("503 Full", "504 Over")) {
            PeerStub one = server(PeerStub.answers(status, "Not-Started: 1\r\n", ""));
            PeerStub two = server(PeerStub.answers(status, "Not-Started: 1\r\n", ""));
            PeerStub.Script once = seen -> {
                one.script(PeerStub.serves("second"));
                two.script(PeerStub.serves("second"));
                seen.reply(status, "Not-Started: 1\r\n", "");
            };
            one.script(once);
            two.script(once);
            assertEquals(
                    "second",
                    sidecar(one, two).client().book("x", 2_000).answer().body());
            String id = one.take().request().headers().get("Request-Id");
            assertEquals(id, two.take().request().headers().get("Request-Id"));
        }
    }

    @Test
    void refusedConnectionIsRetriedOnAnotherServer() throws Exception {
        PeerStub gone = server(PeerStub.SILENT);
        gone.close();
        PeerStub here = server(PeerStub.serves("here"));
        Harness harness = sidecar(gone, here);
        for (int i = 0; i < 8; i++) {
            assertEquals("here", harness.client().book("x", 2_000).answer().body());
        }
    }

    @Test
    void requestIsRejectedWithRetryAfterWhenNoServerIsReachable() throws Exception {
        PeerStub gone = server(PeerStub.SILENT);
        gone.close();
        RawHttpClient.Message answer = sidecar(gone).client().book("x", 300).answer();
        assertEquals(503, answer.status());
        assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }

    @Test
    void silentServerCausesTimeout() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        long start = System.nanoTime();
        RawHttpClient.Message answer = sidecar(server).client().book("x", 400).answer();
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertEquals(504, answer.status());
        assertTrue(millis < 2_000, "answered after " + millis + " ms");
        assertEquals(1, server.received.size());
        server.awaitEnd();
    }

    /** Responses just before and just after the deadline: one response per request, and always the right one. */
    @Test
    void oneResponsePerRequestWhenOutcomesRace() throws Exception {
        PeerStub server = server(seen -> {
            int late = seen.request().headers().get("Request-Id").hashCode() % 12;
            seen.socket().setTcpNoDelay(true);
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(85 + late));
            seen.reply("200 OK", "", seen.request().headers().get("Request-Id"));
        });
        Harness harness = sidecar(server);
        Harness.Client client = harness.client();
        for (int i = 0; i < 30; i++) {
            String head = Harness.Client.head("GET", "/search/k", 100, "", 0);
            String id = head.replaceAll("(?s).*Request-Id: (\\w+).*", "$1");
            RawHttpClient.Message answer = client.raw(head).answer();
            if (answer.status() == 200) {
                assertEquals(id, answer.body());
            } else {
                assertTrue(List.of(502, 503, 504).contains(answer.status()), answer.firstLine());
            }
        }
        client.raw("GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        assertEquals(200, client.answer().status());
        client.assertClosed();
    }

    @Test
    void serverConnectionIsReused() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness.Client client = sidecar(server).client();
        for (int i = 0; i < 5; i++) {
            assertEquals(200, client.search(2_000).answer().status());
            LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(2 * ServerPool.REUSE_DELAY_MICROS));
        }
        assertEquals(1, server.accepted.get());
    }

    /** A server may close an idle connection at any time; a request written to it afterwards would be lost. */
    @Test
    void closedIdleConnectionIsNotReused() throws Exception {
        PeerStub server = server(seen -> seen.reply("200 OK", "", "ok"));
        Harness.Client client = sidecar(server).client();
        assertEquals(200, client.book("x", 2_000).answer().status());
        server.take().socket().close();
        server.awaitEnd();
        assertEquals(200, client.book("x", 2_000).answer().status());
        assertEquals(2, server.accepted.get());
    }

    @Test
    void clientDisconnectCancelsItsAttempt() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        Harness harness = sidecar(server);
        Harness.Client client = harness.client().book("x", 30_000);
        Socket carrying = server.take().socket();
        client.close();
        server.awaitEnd();
        assertTrue(carrying.isClosed());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nonsense | 400",
                "GET /nosuch/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: x;Request-Timeout-Ms: 9 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: -5 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 1e3 | 400",
                "GET /search/k HTTP/1.1;Request-Id: a;Request-Id: b;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "GET /book/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9 | 400",
                "POST /hold/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9;Content-Length: 0 | 400",
                "POST /book/k HTTP/1.1;Request-Id: a;Tenant: acme;Request-Timeout-Ms: 9;Content-Length: 33554433"
                        + " | 413",
            })
    void badRequestReachesNoServer(String text, int status) throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness harness = sidecar(server);
        Harness.Client client = harness.client().raw(text.replace(";", "\r\n") + "\r\n\r\n");
        assertEquals(status, client.answer().status());
        client.assertClosed();
        assertEquals(0, server.accepted.get());
        assertEquals(200, harness.client().search(2_000).answer().status());
    }

    @Test
    void duplicateRequestIdInFlightIsRejected() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        Harness harness = sidecar(server);
        String head = Harness.Client.head("GET", "/search/k", 5_000, "", 0);
        harness.client().raw(head);
        server.take();
        assertEquals(400, harness.client().raw(head).answer().status());
    }

    @Test
    void healthCheckRequiresAServer() throws Exception {
        String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
        Harness harness = sidecar();
        assertEquals(503, harness.client().raw(health).answer().status());
        PeerStub server = server(PeerStub.serves("ok"));
        String list = Harness.json(Harness.list(2, true, "in_service", server));
        harness.discovery.take().reply("200 OK", "", list);
        harness.discovery.take();
        assertEquals(200, harness.client().raw(health).answer().status());
    }

    /**
     * An exception in the load balancer fails one request, which still has a response; other requests are not affected.
     */
    @Test
    void exceptionInTheLoadBalancerIsAnsweredAndLogged() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness harness = new Harness(folder, server);
        open.add(harness);
        harness.start((settings, actions) -> new NoOpLoadBalancer() {
            private boolean thrown;

            @Override
            public void request(long nowMicros, LoadBalancer.Request request) {
                if (!thrown) {
                    thrown = true;
                    throw new IllegalStateException("probe");
                }
                actions.refuse(request.id(), 0);
            }
        });
        Harness.Client client = harness.client();
        assertEquals(500, client.search(2_000).answer().status());
        assertEquals(503, client.search(2_000).answer().status());
        assertTrue(harness.log.toString().contains("IllegalStateException: probe"), harness.log.toString());
    }

    /** The immediate result of an action reaches the load balancer only after the call that requested the action. */
    @Test
    void loadBalancerIsNotReenteredFromItsOwnAction() throws Exception {
        Harness harness = new Harness(folder);
        open.add(harness);
        List<String> order = new ArrayList<>();
        harness.start((settings, actions) -> new NoOpLoadBalancer() {
            @Override
            public void request(long nowMicros, LoadBalancer.Request request) {
                order.add("request");
                actions.send(request.id(), 1, 0);
                order.add("sent to a server that no list names");
            }

            @Override
            public void outcome(long nowMicros, LoadBalancer.Outcome outcome) {
                order.add(outcome.result().toString());
                actions.fail(outcome.requestId());
            }
        });
        assertEquals(502, harness.client().search(2_000).answer().status());
        assertEquals(List.of("request", "sent to a server that no list names", "NOT_SENT"), order);
    }

    /** At the connection limit a new client replaces an idle one, so descriptors never run out. */
    @Test
    void newClientsEvictIdleConnectionsAtTheLimit() throws Exception {
        PeerStub server = server(PeerStub.serves("ok"));
        Harness harness = new Harness(folder, 250_000, 128, server);
        open.add(harness);
        harness.start();
        Harness.Client first = harness.client();
        assertEquals(200, first.search(5_000).answer().status());
        // Connections opened a moment ago are not evicted, so that their first request can arrive.
        Thread.sleep(150);
        for (int i = 0; i < harness.config().clientConnections(); i++) {
            assertEquals(200, harness.client().search(5_000).answer().status());
        }
        first.assertClosed();
    }

    /**
     * If the load balancer makes no decision on a request, the sidecar responds at the deadline and informs the load
     * balancer.
     */
    @Test
    void requestIgnoredByTheLoadBalancerTimesOut() throws Exception {
        Harness harness = new Harness(folder);
        open.add(harness);
        var left = new LinkedBlockingQueue<String>();
        harness.start((settings, actions) -> new NoOpLoadBalancer() {
            @Override
            public void clientLeft(long nowMicros, String requestId) {
                left.add(requestId);
            }
        });
        assertEquals(504, harness.client().search(200).answer().status());
        assertEquals(16, left.poll(10, TimeUnit.SECONDS).length());
    }

    /**
     * If all connections are busy, a new client waits, and the next connection that has its response makes room for it.
     */
    @Test
    void clientAboveTheLimitIsAcceptedAfterAResponse() throws Exception {
        Harness harness = new Harness(folder, 250_000, 128);
        open.add(harness);
        var requestIds = new LinkedBlockingQueue<String>();
        var actions = new AtomicReference<LoadBalancer.Actions>();
        harness.start((settings, givenActions) -> {
            actions.set(givenActions);
            return new NoOpLoadBalancer() {
                @Override
                public void request(long nowMicros, LoadBalancer.Request request) {
                    requestIds.add(request.id());
                }
            };
        });
        int bound = harness.config().clientConnections();
        List<Harness.Client> clients = new ArrayList<>();
        String first = null;
        for (int i = 0; i < bound; i++) {
            clients.add(harness.client().search(30_000));
            String id = requestIds.poll(10, TimeUnit.SECONDS);
            first = i == 0 ? id : first;
        }
        for (int i = 0; i < 20; i++) {
            clients.add(harness.client().search(30_000));
        }
        assertNull(requestIds.poll(200, TimeUnit.MILLISECONDS));
        String refused = first;
        harness.loop.execute(() -> actions.get().refuse(refused, 0));
        assertEquals(503, clients.get(0).answer().status());
        clients.get(0).assertClosed();
        assertEquals(16, requestIds.poll(10, TimeUnit.SECONDS).length());
        assertNull(requestIds.poll(200, TimeUnit.MILLISECONDS));
    }

    // ---- Discovery

    @Test
    void drainedServerReceivesNoRequests() throws Exception {
        PeerStub leaving = server(PeerStub.serves("leaving"));
        PeerStub staying = server(PeerStub.serves("staying"));
        Harness harness = sidecar(leaving, staying);
        harness.discovery.take().reply("200 OK", "", Harness.json(Harness.list(2, false, "terminating", leaving)));
        String next = harness.discovery.take().request().firstLine();
        assertTrue(next.startsWith("GET /v1/servers?from=2&hold_ms="), next);
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
        assertEquals(0, leaving.received.size());
    }

    @Test
    void serverMissingFromACompleteListIsRemoved() throws Exception {
        PeerStub gone = server(PeerStub.serves("gone"));
        PeerStub staying = server(PeerStub.serves("staying"));
        Harness harness = sidecar(gone, staying);
        harness.discovery.take().reply("200 OK", "", Harness.json(Harness.list(2, true, "in_service", staying)));
        harness.discovery.take();
        for (int i = 0; i < 20; i++) {
            assertEquals("staying", harness.client().search(2_000).answer().body());
        }
    }

    /** A watch that fails in any way leaves the old list in force and is retried until it succeeds. */
    @Test
    void failedWatchIsRetried() throws Exception {
        PeerStub old = server(PeerStub.serves("old"));
        PeerStub fresh = server(PeerStub.serves("fresh"));
        Harness harness = sidecar(old);
        harness.discovery.take().socket().close();
        harness.discovery.take().reply("503 Busy", "", "");
        harness.discovery.take().reply("200 OK", "", "{\"rev\":2,\"all\":true,\"targets\":[{}]}");
        PeerStub.ReceivedRequest again = harness.discovery.take();
        assertTrue(
                again.request().firstLine().contains("from=1&"), again.request().firstLine());
        assertEquals("old", harness.client().search(2_000).answer().body());
        again.reply("200 OK", "", Harness.json(Harness.list(3, true, "in_service", fresh)));
        harness.discovery.take();
        assertEquals("fresh", harness.client().search(2_000).answer().body());
    }

    @Test
    void silentDiscoveryTimesOut() throws Exception {
        PeerStub silent = server(PeerStub.SILENT);
        Harness harness = new Harness(folder);
        open.add(harness);
        var address = Addresses.parse("127.0.0.1:" + silent.port());
        var failures = new LinkedBlockingQueue<String>();
        Discovery.Listener listener = new Discovery.Listener() {
            @Override
            public void listReceived(ServerList list) {}

            @Override
            public void failed(String why) {
                failures.add(why);
            }
        };
        SidecarConfiguration config = harness.config();
        harness.loop.execute(() ->
                new Discovery(harness.loop, address, config.listReader(), 1, listener, line -> {}, 50).subscribe());
        assertEquals("no answer", failures.poll(10, TimeUnit.SECONDS));
        silent.awaitEnd();
    }

    // ---- Shutdown

    @Test
    void requestsInFlightAreCompletedAtShutdown() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        Harness harness = sidecar(server);
        Harness.Client busy = harness.client().book("x", 30_000);
        Harness.Client idle = harness.client();
        PeerStub.ReceivedRequest pending = server.take();
        var ended = harness.stop();
        Harness.Client late = harness.client();
        late.raw("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(503, late.answer().status());
        server.script(PeerStub.serves("late"));
        assertEquals("late", harness.client().search(5_000).answer().body());
        idle.assertClosed();
        assertNotEquals(0, ended.getCount());
        pending.reply("200 OK", "", "held");
        RawHttpClient.Message answer = busy.answer();
        assertEquals("held", answer.body());
        assertEquals("close", answer.headers().get("Connection"));
        busy.assertClosed();
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }
}
