package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests a sidecar with an operators' file over real sockets. */
@Timeout(60)
class OperatorFileLayoutTest extends Loopback {

    private Harness harness;

    private Harness sidecar(String operators) throws Exception {
        harness = new Harness(folder);
        open.add(harness);
        return harness.startWith("version = 1\n" + operators);
    }

    private static String pool(String name, String more, PeerStub... servers) {
        StringBuilder text = new StringBuilder("[pools." + name + "]\nsource = \"static\"\n" + more + "servers = [\n");
        for (PeerStub server : servers) {
            text.append("  { id = \"s-")
                    .append(server.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(server.port())
                    .append("\", zone = \"a\" },\n");
        }
        return text.append("]\n").toString();
    }

    private static String route(String requestClass, String pool, String more) {
        return "[routes." + requestClass + "]\npath = \"/" + requestClass + "/*\"\nclass = \"" + requestClass
                + "\"\npool = \"" + pool + "\"\n" + more;
    }

    private void reload(String operators) throws Exception {
        harness.reload("version = 1\n" + operators);
    }

    private static String search(String target, String host) {
        return "GET " + target + " HTTP/1.1\r\n" + host + "Request-Id: " + Harness.Client.id()
                + "\r\nTenant: acme\r\nRequest-Timeout-Ms: 2000\r\n\r\n";
    }

    // ---- Routes

    @Test
    void requestsReachThePoolOfTheirRoute() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        PeerStub two = server(PeerStub.serves("two"));
        sidecar(pool("p", "", one) + pool("q", "", two) + route("search", "p", "") + route("book", "q", ""));
        assertEquals("one", harness.client().search(2_000).answer().body());
        assertEquals("two", harness.client().book("x", 2_000).answer().body());
        RawHttpClient.Message none =
                harness.client().raw(search("/other/1", "Host: a\r\n")).answer();
        assertEquals(404, none.status());
        assertEquals("no route\n", none.body());
    }

    /** The server gets the normalized path that was matched, however the client spells it. */
    @ParameterizedTest
    @CsvSource({
        "/search/../book/7, /book/7",
        "//book//7?x=%2F, /book/7?x=%2F",
        "/%62ook/7, /book/7",
        "/search/%2e%2E/book/./7, /book/7",
        "http://A.example.org:81/book/7, /book/7"
    })
    void pathIsNormalizedBeforeRouting(String target, String sent) throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        PeerStub two = server(PeerStub.serves("two"));
        sidecar(pool("p", "", one) + pool("q", "", two) + route("search", "p", "") + route("book", "q", ""));
        String head = "POST " + target + " HTTP/1.1\r\nHost: other\r\nRequest-Id: " + Harness.Client.id()
                + "\r\nTenant: acme\r\nRequest-Timeout-Ms: 2000\r\nContent-Length: 1\r\n\r\nx";
        assertEquals("two", harness.client().raw(head).answer().body());
        RawHttpClient.Message seen = two.take().request();
        assertEquals("POST " + sent + " HTTP/1.1", seen.firstLine());
        assertEquals(
                target.startsWith("http") ? "a.example.org" : "other",
                seen.headers().get("Host"));
        assertTrue(one.received.isEmpty());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/search%2F1 | Host: a", "/search/%5C | Host: a", "/../search/1 | Host: a", "/search/%zz | Host: a",
                "search | Host: a", "/search/1 | X: a", "/search/1 | Host: a\\r\\nHost: a", "/search/1 | Host: a/b",
                "http:///search/1 | Host: a",
            })
    void ambiguousTargetIsRejected(String target, String host) throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        sidecar(pool("p", "", one) + route("search", "p", ""));
        String fields = host.strip().replace("\\r", "\r").replace("\\n", "\n") + "\r\n";
        assertEquals(
                400,
                harness.client().raw(search(target.strip(), fields)).answer().status());
        assertTrue(one.received.isEmpty());
    }

    @Test
    void routesMatchByHostAndHeaders() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        PeerStub two = server(PeerStub.serves("two"));
        sidecar(pool("p", "", one) + pool("q", "", two) + route("search", "p", "host = \"*.example.org\"\n")
                + "[routes.gold]\nhost = \"*.example.org\"\npath = \"/search/*\"\nclass = \"search\"\n"
                + "pool = \"q\"\nheaders = { X-Tier = \"gold\" }\n");
        String host = "Host: API.Example.org:8443\r\n";
        assertEquals(
                "one", harness.client().raw(search("/search/1", host)).answer().body());
        assertEquals(
                "two",
                harness.client()
                        .raw(search("/search/1", host + "x-tier: gold\r\n"))
                        .answer()
                        .body());
        assertEquals(
                "one",
                harness.client()
                        .raw(search("/search/1", host + "X-Tier: gold\r\nX-Tier: gold\r\n"))
                        .answer()
                        .body());
        assertEquals(
                404,
                harness.client()
                        .raw(search("/search/1", "Host: example.org\r\n"))
                        .answer()
                        .status());
    }

    // ---- Limits

    @Test
    void losingHedgeIsCancelled() throws Exception {
        PeerStub one = server(PeerStub.SILENT);
        PeerStub two = server(PeerStub.SILENT);
        sidecar(pool("p", "", one, two) + route("search", "p", "attempts = 2\nhedges = 1\nhedge_after = \"50ms\"\n"));
        Harness.Client client = harness.client().search(2_000);
        // Each server has an attempt before either has responded.
        PeerStub.ReceivedRequest slow = one.take();
        two.take().reply("200 OK", "", "copy");
        assertEquals("copy", client.answer().body());
        one.awaitEnd();
        assertEquals("GET /search/k1 HTTP/1.1", slow.request().firstLine());
        assertEquals(2, one.accepted.get() + two.accepted.get());
        one.script(PeerStub.serves("next"));
        two.script(PeerStub.serves("next"));
        // The client's next response belongs to its next request: the first request got no second response.
        assertEquals("next", client.search(2_000).answer().body());
    }

    @Test
    void nonIdempotentRequestIsNotHedged() throws Exception {
        PeerStub one = server(PeerStub.SILENT);
        PeerStub two = server(PeerStub.SILENT);
        sidecar(pool("p", "hedges = 2\n", one, two)
                + route("search", "p", "attempts = 2\nhedges = 1\nhedge_after = \"20ms\"\n")
                + route("book", "p", ""));
        Harness.Client client = harness.client().book("x", 400);
        assertEquals(504, client.answer().status());
        assertEquals(1, one.received.size() + two.received.size());
    }

    @Test
    void attemptTimeoutIsApplied() throws Exception {
        PeerStub one = server(PeerStub.SILENT);
        PeerStub two = server(PeerStub.SILENT);
        AtomicInteger came = new AtomicInteger();
        PeerStub.Script secondServes = seen -> {
            if (came.incrementAndGet() == 2) {
                seen.reply("200 OK", "", "second");
            }
        };
        one.script(secondServes);
        two.script(secondServes);
        sidecar(pool("p", "", one, two) + route("search", "p", "attempts = 2\nattempt_timeout = \"120ms\"\n"));
        assertEquals("second", harness.client().search(2_000).answer().body());
        for (PeerStub server : List.of(one, two)) {
            long timeoutMillis =
                    Long.parseLong(server.take().request().headers().get("Request-Timeout-Ms"));
            assertTrue(timeoutMillis <= 120, "told the server " + timeoutMillis);
        }
    }

    @Test
    void failureNotListedInRetryOnIsNotRetried() throws Exception {
        PeerStub one = server(PeerStub.answers("500 No", "", ""));
        PeerStub two = server(PeerStub.answers("500 No", "", ""));
        sidecar(pool("p", "", one, two) + route("search", "p", "retry_on = [\"turned-away\"]\n"));
        assertNotEquals(200, harness.client().search(2_000).answer().status());
        assertEquals(1, one.received.size() + two.received.size());
    }

    @Test
    void routeTimeoutOverridesLongerClientTimeout() throws Exception {
        PeerStub silent = server(PeerStub.SILENT);
        sidecar(pool("p", "", silent) + route("book", "p", "timeout = \"200ms\"\n"));
        long since = System.nanoTime();
        assertEquals(504, harness.client().book("x", 3_000).answer().status());
        assertTrue(System.nanoTime() - since < 2_000_000_000L, "waited for the client's own time");
    }

    @Test
    void fullPoolDoesNotAffectOtherPools() throws Exception {
        PeerStub silent = server(PeerStub.SILENT);
        PeerStub sound = server(PeerStub.serves("ok"));
        sidecar(pool("p", "max_requests = 4\nmax_queue = 1\n", silent)
                + pool("q", "", sound)
                + route("book", "p", "")
                + route("search", "q", ""));
        List<Harness.Client> stuck = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            stuck.add(harness.client().book("x", 3_000));
        }
        // Requests that the pool has no room for are refused at once; the first ones are in flight.
        silent.take();
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            assertEquals(200, harness.client().search(2_000).answer().status());
        }
        for (Harness.Client client : stuck) {
            RawHttpClient.Message answer = client.answer();
            refused += answer.status() == 503 ? 1 : 0;
        }
        assertTrue(refused >= 36, "refused " + refused);
        assertTrue(silent.received.size() < 4, "sent " + silent.received.size());
    }

    @Test
    void connectionLimitHolds() throws Exception {
        PeerStub silent = server(PeerStub.SILENT);
        sidecar(pool("p", "max_connections = 2\n", silent) + route("search", "p", "timeout = \"500ms\"\n"));
        List<Harness.Client> clients = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            clients.add(harness.client().search(2_000));
        }
        for (Harness.Client client : clients) {
            assertNotEquals(200, client.answer().status());
        }
        assertTrue(silent.accepted.get() >= 1);
        assertTrue(silent.accepted.get() - silent.ended.size() <= 2, "more than two at once");
    }

    // ---- Reload

    @Test
    void invalidFileIsRejectedOnReload() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        sidecar(pool("p", "", one) + route("search", "p", ""));
        reload(pool("p", "", one) + route("search", "p", "attempts = 9\n") + "[routes.x]\n");
        assertEquals("one", harness.client().search(2_000).answer().body());
        String log = harness.log.toString();
        assertTrue(log.contains("operators.toml:11: 'attempts' is 9; the settings allow 4"), log);
        assertTrue(log.contains("operators.toml:12: "), log);
        assertTrue(log.contains("the old configuration stays"), log);
        // A recursive-descent parser without a depth limit would overflow the stack.
        harness.reload("x = " + "[".repeat(200_000));
        harness.log.await("operators.toml:1: lists, tables or keys nested more than 32 deep; the old");
        assertEquals("one", harness.client().search(2_000).answer().body());
    }

    /** A non-idempotent request in flight stays at its server; the next one is routed by the new file. */
    @Test
    void nonIdempotentRequestStaysInOldPoolAcrossReload() throws Exception {
        PeerStub old = server(PeerStub.SILENT);
        PeerStub next = server(PeerStub.serves("next"));
        sidecar(pool("p", "", old) + route("book", "p", ""));
        Harness.Client client = harness.client().book("x", 3_000);
        PeerStub.ReceivedRequest held = old.take();
        reload(pool("q", "", next) + route("book", "q", ""));
        assertEquals("next", harness.client().book("y", 2_000).answer().body());
        held.reply("200 OK", "", "old");
        assertEquals("old", client.answer().body());
        assertEquals(1, next.received.size());
        // The old pool ends with its last request, and closes its connection.
        old.awaitEnd();
        assertTrue(old.received.isEmpty());
    }

    /** A request queued in a removed pool fails at once when no server can be added to it any more. */
    @Test
    void queuedRequestOfRemovedPoolIsAnswered() throws Exception {
        PeerStub one = server(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        PeerStub next = server(PeerStub.serves("next"));
        sidecar(pool("p", "", one) + route("book", "p", ""));
        Harness.Client client = harness.client().book("x", 20_000);
        one.take();
        long since = System.nanoTime();
        reload(pool("q", "", next) + route("book", "q", ""));
        assertEquals(503, client.answer().status());
        assertTrue(System.nanoTime() - since < 3_000_000_000L, "held long past the grace");
        assertTrue(next.received.isEmpty());
    }

    @Test
    void keptPoolAdoptsNewServersAndLimits() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        PeerStub two = server(PeerStub.serves("two"));
        sidecar(pool("p", "", one) + route("search", "p", ""));
        assertEquals("one", harness.client().search(2_000).answer().body());
        reload(pool("p", "max_connections = 5\n", two) + route("search", "p", ""));
        assertEquals("two", harness.client().search(2_000).answer().body());
        one.awaitEnd();
        assertEquals(1, one.received.size());
    }

    /** A hedged request and its second attempt end under the file that they started with. */
    @Test
    void hedgedRequestSurvivesReload() throws Exception {
        PeerStub one = server(PeerStub.SILENT);
        PeerStub two = server(PeerStub.SILENT);
        String hedged = route("search", "p", "attempts = 2\nhedges = 1\nhedge_after = \"300ms\"\n");
        sidecar(pool("p", "", one, two) + hedged);
        Harness.Client client = harness.client().search(2_500);
        PeerStub.ReceivedRequest first = one.received.poll(200, TimeUnit.MILLISECONDS);
        reload(pool("p", "", one, two) + route("search", "p", "attempts = 1\n"));
        PeerStub.ReceivedRequest copy = first == null ? one.take() : two.take();
        copy.reply("200 OK", "", "copy");
        assertEquals("copy", client.answer().body());
        assertEquals(2, one.accepted.get() + two.accepted.get());
    }

    /**
     * The file changes when part of a request has arrived: the request is routed by the file in effect when it is
     * complete.
     */
    @Test
    void partlyReceivedRequestIsRoutedByNewFile() throws Exception {
        PeerStub old = server(PeerStub.serves("old"));
        PeerStub next = server(PeerStub.serves("next"));
        sidecar(pool("p", "", old) + route("book", "p", ""));
        String whole = Harness.Client.head("POST", "/book/1", 2_000, "", 4) + "body";
        for (int at : new int[] {1, whole.indexOf("Tenant"), whole.length() - 1}) {
            Harness.Client client = harness.client()
                    .raw(whole.substring(0, at).replaceFirst("Request-Id: \\w+", "Request-Id: half" + at));
            reload(pool("q", "", next) + route("book", "q", ""));
            client.raw(whole.substring(at).replaceFirst("Request-Id: \\w+", "Request-Id: half" + at));
            assertEquals("next", client.answer().body());
            reload(pool("p", "", old) + route("book", "p", ""));
        }
        assertTrue(old.received.isEmpty());
        assertEquals(3, next.received.size());
    }

    private static String listener(String name, int port) {
        return "[listeners." + name + "]\naddress = \"127.0.0.1:" + port + "\"\n";
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    @Test
    void listenersOpenAndCloseWithoutLosingAConnection() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        int first = freePort();
        int second = freePort();
        String rest = pool("p", "", server) + route("book", "p", "");
        sidecar(listener("a", first) + rest);
        Harness.Client pending = harness.client().book("x", 5_000);
        Harness.Client idle = harness.client();
        PeerStub.ReceivedRequest held = server.take();
        reload(listener("b", second) + rest);
        // Accepted before the listener closes: its request is still served, and its connection is closed afterwards.
        server.script(PeerStub.serves("late"));
        idle.book("y", 5_000);
        assertEquals("late", idle.answer().body());
        try (Harness.Client other = new Harness.Client(new InetSocketAddress("127.0.0.1", second))) {
            assertEquals("late", other.book("z", 2_000).answer().body());
        }
        held.reply("200 OK", "", "first");
        assertEquals("first", pending.answer().body());
        pending.assertClosed();
        idle.assertClosed();
        awaitRefused(first);
    }

    private static void awaitRefused(int port) throws Exception {
        while (true) {
            try {
                new Harness.Client(new InetSocketAddress("127.0.0.1", port)).close();
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // Opened at the very moment of the closing: nothing has been sent on it that could be lost.
                Thread.onSpinWait();
            }
        }
    }

    @Test
    void addressInUseRejectsReload() throws Exception {
        PeerStub one = server(PeerStub.serves("one"));
        int port = freePort();
        sidecar(listener("a", port) + pool("p", "", one) + route("search", "p", ""));
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            reload(listener("a", port)
                    + listener("b", taken.getLocalPort())
                    + pool("q", "", one)
                    + route("search", "q", "")
                    + route("book", "q", ""));
        }
        assertTrue(harness.log.toString().contains("can't listen"), harness.log.toString());
        assertEquals("one", harness.client().search(2_000).answer().body());
        assertEquals(404, harness.client().book("x", 2_000).answer().status());
    }

    /** Steady load from an independent client while the file is reloaded as often as possible. */
    @Test
    void reloadUnderLoadAnswersEachRequestOnce() throws Exception {
        Map<String, AtomicInteger> ran = new ConcurrentHashMap<>();
        PeerStub.Script countingScript = seen -> {
            ran.computeIfAbsent(seen.request().headers().get("Request-Id"), id -> new AtomicInteger())
                    .incrementAndGet();
            seen.reply("200 OK", "", "ok");
        };
        PeerStub one = server(countingScript);
        PeerStub two = server(countingScript);
        PeerStub three = server(countingScript);
        List<String> files = List.of(
                pool("p", "", one, two) + route("search", "p", "") + route("book", "p", ""),
                pool("p", "max_requests = 50\n", one, two)
                        + pool("q", "", three)
                        + route("search", "p", "attempts = 2\n")
                        + route("book", "q", ""),
                pool("q", "", three, two) + route("search", "q", "") + route("book", "q", ""));
        sidecar(files.get(0));
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        ExecutorService senders = Executors.newFixedThreadPool(6);
        AtomicInteger left = new AtomicInteger(3_000);
        Callable<Map<Integer, Integer>> sender = () -> {
            Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
            while (left.getAndDecrement() > 0) {
                boolean book = left.get() % 2 == 0;
                HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(
                                "http://127.0.0.1:" + harness.address.getPort() + (book ? "/book/1" : "/search/1")))
                        .header("Request-Id", Harness.Client.id())
                        .header("Tenant", "acme")
                        .header("Request-Timeout-Ms", "3000");
                request = book ? request.POST(HttpRequest.BodyPublishers.ofString("x")) : request.GET();
                statuses.merge(
                        client.send(request.build(), HttpResponse.BodyHandlers.ofString())
                                .statusCode(),
                        1,
                        Integer::sum);
            }
            return statuses;
        };
        List<Future<Map<Integer, Integer>>> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(senders.submit(sender));
        }
        int reloads = 0;
        while (left.get() > 0) {
            reload(files.get(++reloads % files.size()));
        }
        Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
        for (Future<Map<Integer, Integer>> each : all) {
            each.get().forEach((status, count) -> statuses.merge(status, count, Integer::sum));
        }
        senders.shutdown();
        assertEquals(Map.of(200, 3_000), statuses);
        assertEquals(3_000, ran.size());
        assertTrue(ran.values().stream().allMatch(n -> n.get() == 1), "some ran twice");
        assertTrue(reloads > 3, "reloads " + reloads);
        assertFalse(harness.log.toString().contains("old configuration"), harness.log.toString());
    }

    // ---- Start

    @Test
    void invalidFileFailsStartupWithAllReasons() throws Exception {
        harness = new Harness(folder);
        open.add(harness);
        IOException refused = assertThrows(
                IOException.class, () -> harness.startWith("version = 1\n" + route("search", "p", "attempts = 9\n")));
        assertEquals(2, refused.getMessage().lines().count(), refused.getMessage());
    }
}
