package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.PluginModules;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plug-ins with real sockets: the changes they make, and that no hostile plug-in breaks a rule. */
@Timeout(60)
class PluginLoopbackTest extends Loopback {

    private static final String REJECT_OPTIONS = "refuse = true\non_failure = \"closed\"\ndeadline = \"1s\"\n";

    private Harness harness;

    private String file(String plugins, PeerStub... servers) {
        StringBuilder text =
                new StringBuilder("version = 1\n" + plugins + "[pools.p]\nsource = \"static\"\nservers = [\n");
        for (PeerStub s : servers) {
            text.append("  { id = \"s-")
                    .append(s.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(s.port())
                    .append("\", zone = \"a\" },\n");
        }
        text.append("]\n");
        for (String c : List.of("search", "book")) {
            text.append("[routes.")
                    .append(c)
                    .append("]\npath = \"/")
                    .append(c)
                    .append("/*\"\nclass = \"")
                    .append(c)
                    .append("\"\npool = \"p\"\n");
        }
        return text + "[routes.pay]\npath = \"/pay/*\"\nclass = \"search\"\npool = \"p\"\n";
    }

    private String plugin(String module, String more) throws Exception {
        Files.write(folder.resolve(module + ".wasm"), PluginModules.bytes(module));
        return "[plugins." + module + "]\nfile = \"" + module + ".wasm\"\n" + more;
    }

    private void sidecar(String plugins, PeerStub... servers) throws Exception {
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file(plugins, servers));
    }

    /** A stricter class applies fully: method, idempotency key, and no retries. */
    @Test
    void pluginSetsTheRequestClassFromThePath() throws Exception {
        PeerStub one = server(PeerStub.HANG_UP);
        PeerStub two = server(PeerStub.HANG_UP);
        String book = "config = { class = \"book\" }\ndeadline = \"1s\"\n";
        sidecar(plugin("mark-pay", book + "classes = [\"book\"]\non_failure = \"closed\"\n"), one, two);
        assertEquals(
                400,
                harness.client()
                        .raw(Harness.Client.head("GET", "/pay/7", 2_000, "", 0))
                        .answer()
                        .status());
        assertEquals(0, one.received.size() + two.received.size());
        String post = Harness.Client.head("POST", "/pay/7", 2_000, "", 1) + "x";
        assertEquals(502, harness.client().raw(post).answer().status());
        assertEquals(1, one.received.size() + two.received.size(), "a request that must not run twice was retried");
        // Without the grant the request stays a search, which may be retried.
        harness.reload(file(plugin("mark-pay", book), one, two));
        harness.client().raw(Harness.Client.head("GET", "/pay/7", 2_000, "", 0)).answer();
        assertTrue(one.received.size() + two.received.size() > 2, "a search was not retried");
    }

    @Test
    void pluginAddsAHeader() throws Exception {
        PeerStub one = server(PeerStub.serves("ok"));
        sidecar(plugin("log-header", "headers = [\"X-Log-Client\"]\n"), one);
        String get = Harness.Client.head("GET", "/search/7", 2_000, "User-Agent: planner 3\r\n", 0);
        assertEquals(200, harness.client().raw(get).answer().status());
        assertEquals("planner 3", one.take().request().headers().get("X-Log-Client"));
    }

    @Test
    void rejectionByAPluginIsImmediate() throws Exception {
        PeerStub one = server(PeerStub.serves("ok"));
        sidecar(plugin("refuse", REJECT_OPTIONS), one);
        Harness.Client client = harness.client();
        for (int i = 0; i < 3; i++) {
            RawHttpClient.Message answer = client.search(2_000).answer();
            assertEquals(503, answer.status());
            assertEquals("1.5", answer.headers().get("Retry-After"));
        }
        assertTrue(one.received.isEmpty());
    }

    /** A plug-in must not bypass the retry rule: a booking treated as a search could be sent twice. */
    @Test
    void pluginCannotWeakenARequestClassWithoutAGrant() throws Exception {
        PeerStub one = server(PeerStub.HANG_UP);
        PeerStub two = server(PeerStub.HANG_UP);
        sidecar(plugin("weaken", "classes = [\"search\"]\n"), one, two);
        RawHttpClient.Message answer = harness.client().book("x", 2_000).answer();
        assertTrue(answer.status() == 502 || answer.status() == 504, "status " + answer.status());
        assertEquals(1, one.received.size() + two.received.size(), "the booking was retried");
        harness.log.await("may not make");
    }

    /** Under steady load with each hostile plug-in: one response per request, in time, and no booking runs twice. */
    @ParameterizedTest
    @ValueSource(strings = {"loop", "grow", "recurse", "trap-second", "chatter", "pointers", "injection", "weaken"})
    void hostilePluginBreaksNoRule(String module) throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        PeerStub.Script script = seen -> {
            runs.merge(seen.request().headers().get("Request-Id"), 1, Integer::sum);
            seen.reply("200 OK", "", seen.request().body());
        };
        PeerStub one = server(script);
        PeerStub two = server(script);
        sidecar(
                plugin(
                        module,
                        "headers = [\"x-log\"]\nclasses = [\"search\"]\nrefuse = true\n" + "on_failure = \"open\"\n"),
                one,
                two);
        ExecutorService pool = Executors.newFixedThreadPool(4);
        open.add(pool::shutdownNow);
        List<Future<Integer>> clients = new ArrayList<>();
        for (int t = 0; t < 4; t++) {
            int thread = t;
            Harness.Client client = harness.client();
            clients.add(pool.submit(() -> {
                for (int i = 0; i < 60; i++) {
                    String body = "b" + thread + "-" + i;
                    RawHttpClient.Message answer = client.book(body, 2_000).answer();
                    assertEquals(200, answer.status());
                    assertEquals(body, answer.body());
                }
                return 60;
            }));
        }
        for (Future<Integer> client : clients) {
            assertEquals(60, client.get(30, TimeUnit.SECONDS));
        }
        assertEquals(240, runs.size());
        assertTrue(runs.values().stream().allMatch(n -> n == 1), "a booking ran twice");
        if (List.of("loop", "recurse", "chatter").contains(module)) {
            harness.log.await("plug-in " + module + " is left out for");
        }
    }

    @Test
    void failClosedRejectsAndFailOpenContinues() throws Exception {
        PeerStub one = server(PeerStub.serves("ok"));
        sidecar(plugin("loop", "on_failure = \"closed\"\ndeadline = \"20ms\"\n"), one);
        for (int i = 0; i < 8; i++) {
            long began = System.nanoTime();
            assertEquals(503, harness.client().book("x", 2_000).answer().status());
            assertTrue(System.nanoTime() - began < 1_000_000_000L);
        }
        assertTrue(one.received.isEmpty());
        harness.reload(file(plugin("loop", "on_failure = \"open\"\ndeadline = \"20ms\"\n"), one));
        assertEquals(200, harness.client().book("x", 2_000).answer().status());
    }

    @ParameterizedTest
    @ValueSource(strings = {"start-loop", "foreign-import", "old-abi", "no-hook", "many-pages"})
    void failedReloadKeepsTheOldPlugins(String module) throws Exception {
        PeerStub one = server(PeerStub.serves("ok"));
        sidecar(plugin("refuse", REJECT_OPTIONS), one);
        harness.reload(file(plugin(module, ""), one));
        harness.log.await("plug-in '" + module + "'");
        harness.log.await("the old configuration stays");
        RawHttpClient.Message answer = harness.client().search(2_000).answer();
        assertEquals(503, answer.status());
        // The Retry-After of the plug-in itself, not that of a plug-in that failed.
        assertEquals("1.5", answer.headers().get("Retry-After"));
    }

    /** Frequent reloads under load: no request is lost, and each is evaluated by the old or the new plug-ins. */
    @Test
    void reloadsLoseNoRequests() throws Exception {
        PeerStub one = server(seen -> seen.reply("200 OK", "", seen.request().body()));
        String grant = "headers = [\"X-Log-Client\"]\ndeadline = \"1s\"\n";
        String first = file(plugin("log-header", grant), one);
        String second = file(plugin("log-header", grant + "config = { a = \"b\" }\n"), one);
        sidecar(plugin("log-header", grant), one);
        AtomicBoolean stop = new AtomicBoolean();
        ExecutorService pool = Executors.newFixedThreadPool(3);
        open.add(pool::shutdownNow);
        Callable<Integer> client = () -> {
            HttpClient http =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            int answered = 0;
            while (!stop.get()) {
                HttpResponse<String> answer = http.send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + harness.address.getPort() + "/book/k1"))
                                .header("Request-Id", Harness.Client.id())
                                .header("Tenant", "acme")
                                .header("Request-Timeout-Ms", "2000")
                                .header("User-Agent", "u")
                                .POST(HttpRequest.BodyPublishers.ofString("x"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
                assertEquals(200, answer.statusCode());
                answered++;
            }
            return answered;
        };
        List<Future<Integer>> clients = new ArrayList<>();
        for (int t = 0; t < 3; t++) {
            clients.add(pool.submit(client));
        }
        for (int i = 0; i < 20; i++) {
            harness.reload(i % 2 == 0 ? second : first);
        }
        stop.set(true);
        int answered = 0;
        for (Future<Integer> c : clients) {
            answered += c.get(20, TimeUnit.SECONDS);
        }
        assertTrue(answered > 0);
        assertEquals(answered, one.received.size());
        assertTrue(one.received.stream()
                .allMatch(s -> "u".equals(s.request().headers().get("X-Log-Client"))));
    }

    /** Upgrades are evaluated by plug-ins like any request, and the bytes after them wait meanwhile. */
    @Test
    void pluginsAlsoEvaluateUpgrades() throws Exception {
        AtomicInteger tunnels = new AtomicInteger();
        PeerStub one = server(TunnelLoopback.chat(tunnels));
        String socket = "[routes.search.websocket]\n";
        String head = TunnelLoopback.UPGRADE + TunnelLoopback.CHAT + "User-Agent: planner\r\n";
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file(plugin("refuse", REJECT_OPTIONS), one) + socket);
        RawHttpClient.Message refused = harness.client()
                .raw(Harness.Client.head("GET", "/search/1", 2_000, head, 0))
                .answer();
        assertEquals(503, refused.status());
        assertEquals(0, tunnels.get());
        harness.reload(file(plugin("log-header", "headers = [\"X-Log-Client\"]\ndeadline = \"1s\"\n"), one) + socket);
        Harness.Client client = harness.client().raw(Harness.Client.head("GET", "/search/1", 2_000, head, 0));
        assertEquals(101, client.answer().status());
        WebSocketClient ws = new WebSocketClient(client.socket, true);
        assertEquals("hello", ws.text("hello").message().text());
        assertEquals("planner", one.take().request().headers().get("X-Log-Client"));
        // A route without WebSocket handles it as a plain request.
        String book = Harness.Client.head("POST", "/book/1", 2_000, head, 1) + "x";
        assertEquals(200, harness.client().raw(book).answer().status());
    }

    /** A client disconnects and the sidecar stops while a plug-in is still evaluating the request. */
    @Test
    void disconnectAndShutdownDuringAPluginInvocation() throws Exception {
        PeerStub one = server(PeerStub.serves("ok"));
        sidecar(plugin("loop", "deadline = \"300ms\"\n"), one);
        Harness.Client gone = harness.client().book("gone", 2_000);
        gone.close();
        Harness.Client stays = harness.client().book("stays", 2_000);
        CountDownLatch ended = harness.stop();
        assertEquals(200, stays.answer().status());
        assertTrue(ended.await(10, TimeUnit.SECONDS));
        assertTrue(one.received.stream().noneMatch(s -> s.request().body().equals("gone")));
    }
}
