package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.ListKind;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.sidecar.cell.Cell;
import org.cypressweir.sidecar.cell.CellAssignment;
import org.cypressweir.sidecar.cell.CellsConfiguration.Spread;
import org.cypressweir.sidecar.cell.Placement;
import org.cypressweir.testkit.CellConfigurations;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests cells over real sockets: a failure stays in one cell, and moves neither lose nor duplicate requests. */
@Timeout(60)
class CellsLoopbackTest extends Loopback {

    private static final List<Cell> CELLS = CellConfigurations.cells(3);
    private static final String NAMES = "names = [\"c0\", \"c1\", \"c2\"]\nby = \"header:X-Account\"\n";

    private Harness harness;
    private final List<PeerStub> servers = new ArrayList<>();
    /** Requests that the servers have received, in tests whose script records them. */
    private final BlockingQueue<PeerStub.ReceivedRequest> arrived = new LinkedBlockingQueue<>();

    private static String accountOf(int cell, int skip) {
        BitSet open = new BitSet();
        open.set(0, 3);
        Placement placement = new Placement(CELLS, Map.of(), open);
        for (int i = 0; ; i++) {
            if (placement.home(Ids.of("a" + i)) == cell && skip-- == 0) {
                return "a" + i;
            }
        }
    }

    /** The servers of a cell, by the same assignment as in the sidecar. */
    private List<PeerStub> serversOfCell(int cell) {
        CellAssignment assignment = new CellAssignment(CELLS, Spread.SERVER, 0);
        Map<Long, PeerStub> byId = new HashMap<>();
        servers.forEach(s -> byId.put(Ids.of("s-" + s.port()), s));
        assignment.listed(
                0,
                ListKind.COMPLETE,
                byId.keySet().stream()
                        .map(id -> new Server(id, 0, 0, 0, Phase.READY, 0, 1))
                        .toList());
        return byId.entrySet().stream()
                .filter(e -> assignment.cellOf(e.getKey()) == cell)
                .map(Map.Entry::getValue)
                .toList();
    }

    private String file(String cells) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"static\"\nservers = [\n");
        for (PeerStub s : servers) {
            text.append("  { id = \"s-")
                    .append(s.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(s.port())
                    .append("\", zone = \"a\" },\n");
        }
        text.append("]\n[pools.p.cells]\n").append(NAMES).append(cells);
        for (String c : List.of("search", "hold", "book")) {
            text.append("[routes.")
                    .append(c)
                    .append("]\npath = \"/")
                    .append(c)
                    .append("/*\"\nclass = \"")
                    .append(c)
                    .append("\"\npool = \"p\"\n");
        }
        return text.toString();
    }

    private void sidecar(int count, PeerStub.Script script, String cells) throws Exception {
        for (int i = 0; i < count; i++) {
            servers.add(server(script));
        }
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file(cells));
    }

    private static String search(String account) {
        return Harness.Client.head("GET", "/search/k1", 2_000, "X-Account: " + account + "\r\n", 0);
    }

    private static String book(String account, String body) {
        return Harness.Client.head("POST", "/book/k1", 3_000, "X-Account: " + account + "\r\n", body.length()) + body;
    }

    private static String move(String account, int to, String more) {
        return "[pools.p.cells.moves.m]\nunit = \"" + account + "\"\nto = \"c" + to + "\"\nstart = "
                + Instant.now().minusSeconds(1) + "\n" + more;
    }

    private PeerStub.ReceivedRequest takeArrived() throws InterruptedException {
        PeerStub.ReceivedRequest seen = arrived.poll(10, TimeUnit.SECONDS);
        assertTrue(seen != null, "no request came");
        return seen;
    }

    @Test
    void eachUnitReachesOnlyServersOfItsCell() throws Exception {
        sidecar(9, PeerStub.serves("ok"), "");
        for (int cell = 0; cell < 3; cell++) {
            for (int i = 0; i < 12; i++) {
                String account = accountOf(cell, i % 4);
                assertEquals(200, harness.client().raw(search(account)).answer().status());
                assertEquals(
                        200, harness.client().raw(book(account, "x")).answer().status());
            }
        }
        Map<PeerStub, Integer> cellOf = new HashMap<>();
        for (int cell = 0; cell < 3; cell++) {
            int c = cell;
            assertEquals(3, serversOfCell(cell).size());
            serversOfCell(cell).forEach(s -> cellOf.put(s, c));
        }
        int seen = 0;
        for (PeerStub s : servers) {
            for (PeerStub.ReceivedRequest request : s.received) {
                String account = request.request().headers().get("X-Account");
                assertTrue(List.of(
                                accountOf(cellOf.get(s), 0),
                                accountOf(cellOf.get(s), 1),
                                accountOf(cellOf.get(s), 2),
                                accountOf(cellOf.get(s), 3))
                        .contains(account));
                seen++;
            }
        }
        assertEquals(72, seen);
    }

    /** All servers of one cell hang: the other cells serve as usual, and get none of its requests. */
    @Test
    void hangingCellDoesNotAffectOthers() throws Exception {
        sidecar(9, PeerStub.serves("ok"), "");
        CountDownLatch release = new CountDownLatch(1);
        for (PeerStub s : serversOfCell(0)) {
            s.script(seen -> {
                await(release);
                seen.reply("200 OK", "", "late");
            });
        }
        // Far more requests than one load balancer shared by all cells would queue.
        List<Harness.Client> waiting = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            waiting.add(harness.client().raw(book(accountOf(0, i % 3), "h" + i)));
        }
        for (PeerStub s : serversOfCell(0)) {
            s.take();
        }
        long worst = 0;
        for (int i = 0; i < 200; i++) {
            long began = System.nanoTime();
            String account = accountOf(1 + i % 2, i % 5);
            RawHttpClient.Message answer = harness.client()
                    .raw(i % 3 == 0 ? book(account, "b" + i) : search(account))
                    .answer();
            assertEquals(200, answer.status());
            assertEquals("ok", answer.body());
            worst = Math.max(worst, System.nanoTime() - began);
        }
        assertTrue(worst < 2_000_000_000L, "waited " + worst / 1_000_000 + " ms");
        release.countDown();
        int served = 0;
        for (Harness.Client client : waiting) {
            int status = client.answer().status();
            assertTrue(status == 200 || status == 503 || status == 502 || status == 504, "status " + status);
            served += status == 200 ? 1 : 0;
        }
        assertTrue(served > 0);
        for (int cell = 1; cell < 3; cell++) {
            for (PeerStub s : serversOfCell(cell)) {
                assertTrue(
                        s.received.stream().noneMatch(r -> r.request().body().startsWith("h")),
                        "a request of the hanging cell reached another cell");
            }
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            if (!latch.await(20, TimeUnit.SECONDS)) {
                throw new IOException("never released");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    /**
     * The busiest account moves to another cell and back under load, first with a fence. Each book and each keyed hold
     * must get one response and run once, and the other accounts must not be affected.
     */
    @Test
    void busiestAccountMovesUnderLoad() throws Exception {
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        PeerStub.Script script = seen -> {
            arrived.add(seen);
            runs.merge(seen.request().body(), 1, Integer::sum);
            seen.reply("200 OK", "", seen.request().body());
        };
        sidecar(9, script, "");
        String heavy = accountOf(0, 0);
        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger asked = new AtomicInteger();
        ExecutorService pool = Executors.newFixedThreadPool(8);
        open.add(pool::shutdownNow);
        List<Future<Integer>> clients = new ArrayList<>();
        for (int t = 0; t < 8; t++) {
            int thread = t;
            Callable<Integer> client = () -> {
                HttpClient http = HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .build();
                int answered = 0;
                while (!stop.get()) {
                    String body = "w" + thread + "-" + answered;
                    String account = thread < 6 ? heavy : accountOf(1 + thread % 2, 0);
                    boolean keyed = answered % 3 == 1;
                    HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                    + harness.address.getPort() + (keyed ? "/hold/k1" : "/book/k1")))
                            .header("Request-Id", Harness.Client.id())
                            .header("Tenant", "acme")
                            .header("Request-Timeout-Ms", "3000")
                            .header("X-Account", account)
                            .POST(HttpRequest.BodyPublishers.ofString(body));
                    if (keyed) {
                        request.header("Idempotency-Key", body);
                    }
                    asked.incrementAndGet();
                    HttpResponse<String> answer = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
                    assertEquals(200, answer.statusCode());
                    assertEquals(body, answer.body());
                    answered++;
                }
                return answered;
            };
            clients.add(pool.submit(client));
        }
        harness.reload(file(move(heavy, 1, "fence = \"500ms\"\n")));
        harness.log.await("writes go to cell c1 from now on");
        awaitSeen(1, heavy);
        harness.reload(file(move(heavy, 2, "")));
        harness.log.await("writes go to cell c2 from now on");
        awaitSeen(2, heavy);
        harness.reload(file(""));
        awaitSeen(0, heavy);
        stop.set(true);
        int answered = 0;
        for (Future<Integer> client : clients) {
            answered += client.get(20, TimeUnit.SECONDS);
        }
        assertEquals(asked.get(), answered);
        assertEquals(answered, runs.size());
        assertTrue(runs.values().stream().allMatch(n -> n == 1), "something ran twice");
    }

    /** Waits until a server of the cell receives a request of the account that was sent after this call. */
    private void awaitSeen(int cell, String account) throws InterruptedException {
        List<Integer> ports = serversOfCell(cell).stream().map(PeerStub::port).toList();
        arrived.clear();
        for (PeerStub.ReceivedRequest seen; (seen = arrived.poll(20, TimeUnit.SECONDS)) != null; ) {
            if (ports.contains(seen.socket().getLocalPort())
                    && account.equals(seen.request().headers().get("X-Account"))) {
                return;
            }
        }
        throw new AssertionError("never seen: " + account);
    }

    /** A write in flight at the old cell delays later writes until it ends; in the end each has run once. */
    @Test
    void fenceDelaysWritesUntilOldCellIsDone() throws Exception {
        String account = accountOf(0, 0);
        sidecar(6, arrived::add, "");
        Harness.Client first = harness.client().raw(book(account, "first"));
        PeerStub.ReceivedRequest running = takeArrived();
        harness.reload(file(move(account, 1, "fence = \"750ms\"\n")));
        // The process cannot know of writes from before the move was ordered, until those must have ended.
        for (PeerStub s : serversOfCell(0)) {
            s.script(PeerStub.serves("old"));
        }
        for (PeerStub s : serversOfCell(1)) {
            s.script(PeerStub.serves("new"));
        }
        assertEquals(
                "old", harness.client().raw(book(account, "second")).answer().body());
        running.reply("200 OK", "", "first");
        assertEquals("first", first.answer().body());
        harness.log.await("writes go to cell c1 from now on");
        assertEquals(
                "new", harness.client().raw(book(account, "third")).answer().body());
        assertEquals("new", harness.client().raw(search(account)).answer().body());
    }

    /** During a freeze writes are refused at once with a Retry-After, while reads and other accounts are served. */
    @Test
    void freezeRefusesWritesAtOnce() throws Exception {
        String account = accountOf(0, 0);
        sidecar(6, PeerStub.serves("ok"), "");
        harness.reload(file(move(account, 1, "freeze = \"10s\"\n")));
        harness.log.await("refuses writes");
        Harness.Client client = harness.client();
        long began = System.nanoTime();
        RawHttpClient.Message refused = client.raw(book(account, "x")).answer();
        assertEquals(503, refused.status());
        double after = Double.parseDouble(refused.headers().get("Retry-After"));
        assertTrue(after > 0 && after <= 2, "Retry-After " + after);
        assertTrue(System.nanoTime() - began < 1_000_000_000L);
        // The connection can still be used, and the request id is free again.
        assertEquals(200, client.raw(search(account)).answer().status());
        assertEquals(200, client.raw(book(accountOf(2, 0), "x")).answer().status());
        for (PeerStub s : serversOfCell(0)) {
            assertTrue(s.received.isEmpty());
        }
    }

    /** A server that leaves keeps its place for a while; after that others take it, and nothing is lost. */
    @Test
    void serversServeAfterChangingCells() throws Exception {
        sidecar(9, PeerStub.serves("ok"), "keep_places = \"0ms\"\n");
        PeerStub gone = serversOfCell(0).get(0);
        List<PeerStub> before = serversOfCell(0);
        servers.remove(gone);
        harness.reload(file("keep_places = \"0ms\"\n"));
        servers.add(server(PeerStub.serves("ok")));
        servers.add(server(PeerStub.serves("ok")));
        servers.add(server(PeerStub.serves("ok")));
        harness.reload(file("keep_places = \"0ms\"\n"));
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    200,
                    harness.client()
                            .raw(book(accountOf(i % 3, i % 7), "x" + i))
                            .answer()
                            .status());
        }
        assertTrue(gone.received.isEmpty());
        assertFalse(serversOfCell(0).equals(before));
        Set<PeerStub> all = new HashSet<>();
        for (int c = 0; c < 3; c++) {
            for (PeerStub s : serversOfCell(c)) {
                assertTrue(all.add(s));
                for (PeerStub.ReceivedRequest seen : s.received) {
                    String account = seen.request().headers().get("X-Account");
                    int cell = c;
                    assertTrue(
                            IntStream.range(0, 7)
                                    .anyMatch(k -> accountOf(cell, k).equals(account)),
                            account + " at cell " + c);
                }
            }
        }
        assertEquals(11, all.size());
    }

    /** Cells are added and removed by reloads: requests in flight finish where they are. */
    @Test
    void cellsAreAddedAndRemovedDuringARequest() throws Exception {
        sidecar(8, arrived::add, "");
        Harness.Client client = harness.client().raw(book(accountOf(2, 0), "kept"));
        PeerStub.ReceivedRequest running = takeArrived();
        harness.reload(file("").replace("\"c2\"]", "\"c2\", \"c3\"]"));
        harness.reload(file("").replace("[\"c0\", ", "["));
        harness.reload(file("").replace("[pools.p.cells]\n" + NAMES, ""));
        servers.forEach(s -> s.script(PeerStub.serves("plain")));
        assertEquals("plain", harness.client().raw(search("any")).answer().body());
        running.reply("200 OK", "", "kept");
        assertEquals("kept", client.answer().body());
    }

    @Test
    void invalidReloadKeepsCells() throws Exception {
        sidecar(6, PeerStub.serves("ok"), "");
        harness.reload(file("guests = 0.9\n"));
        assertTrue(harness.log.toString().contains("'guests' must be a number from 0.0 to 0.5"));
        assertEquals(200, harness.client().raw(search(accountOf(1, 0))).answer().status());
    }

    private void startWithDiscovery() throws Exception {
        for (int i = 0; i < 6; i++) {
            servers.add(server(PeerStub.serves("ok")));
        }
        harness = new Harness(folder, servers.toArray(PeerStub[]::new));
        open.add(harness);
        harness.startWith("version = 1\n[pools.p]\nsource = \"discovery\"\n[pools.p.cells]\n" + NAMES
                + "[routes.search]\npath = \"/search/*\"\nclass = \"search\"\npool = \"p\"\n"
                + "[routes.book]\npath = \"/book/*\"\nclass = \"book\"\npool = \"p\"\n");
    }

    /** Sends the sidecar a change and waits until it has applied it and watches again. */
    private void publish(int revision, String state, PeerStub... changed) throws Exception {
        harness.discovery.take().reply("200 OK", "", Harness.json(Harness.list(revision, false, state, changed)));
        PeerStub.ReceivedRequest again = harness.discovery.take();
        assertTrue(
                again.request().firstLine().contains("from=" + revision),
                again.request().firstLine());
        harness.discovery.received.add(again);
    }

    /** A drain is respected in a cell as in a pool, and a cell without servers uses none of another cell. */
    @Test
    void drainStaysWithinItsCell() throws Exception {
        startWithDiscovery();
        List<PeerStub> own = serversOfCell(0);
        assertEquals(2, own.size());
        String account = accountOf(0, 0);
        publish(2, "terminating", own.get(0));
        for (int i = 0; i < 20; i++) {
            assertEquals(
                    200, harness.client().raw(book(account, "d" + i)).answer().status());
        }
        assertTrue(own.get(0).received.isEmpty(), "a draining server was sent something");
        assertEquals(20, own.get(1).received.size());
        publish(3, "terminating", own.get(1));
        int status = harness.client().raw(book(account, "none")).answer().status();
        assertTrue(status == 503 || status == 502 || status == 504, "status " + status);
        for (int cell = 1; cell < 3; cell++) {
            assertEquals(
                    200,
                    harness.client().raw(book(accountOf(cell, 0), "o")).answer().status());
            for (PeerStub s : serversOfCell(cell)) {
                assertTrue(s.received.stream()
                        .noneMatch(r -> account.equals(r.request().headers().get("X-Account"))));
            }
        }
        publish(4, "in_service", own.get(0), own.get(1));
        assertEquals(200, harness.client().raw(book(account, "again")).answer().status());
    }

    /**
     * Servers leave and return one by one, as in a release: every other server keeps its cell, and the returning one
     * gets its old cell back.
     */
    @Test
    void rollingRestartKeepsCellAssignment() throws Exception {
        startWithDiscovery();
        Map<PeerStub, Integer> cellOf = new HashMap<>();
        for (int c = 0; c < 3; c++) {
            int cell = c;
            serversOfCell(c).forEach(s -> cellOf.put(s, cell));
        }
        int revision = 2;
        for (PeerStub restarted : servers) {
            publish(revision++, "terminated", restarted);
            for (int c = 0; c < 3; c++) {
                assertEquals(
                        200,
                        harness.client().raw(search(accountOf(c, 1))).answer().status());
            }
            publish(revision++, "in_service", restarted);
        }
        for (PeerStub s : servers) {
            for (PeerStub.ReceivedRequest seen : s.received) {
                assertEquals(
                        accountOf(cellOf.get(s), 1), seen.request().headers().get("X-Account"));
            }
        }
    }

    /** Upgrades are routed to cells like any other request. */
    @Test
    void tunnelsOpenInTheCellOfTheirUnit() throws Exception {
        AtomicInteger[] tunnels = new AtomicInteger[6];
        for (int i = 0; i < 6; i++) {
            tunnels[i] = new AtomicInteger();
            servers.add(server(TunnelLoopback.chat(tunnels[i])));
        }
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file("") + "[routes.live]\npath = \"/search/live/*\"\nclass = \"search\"\n"
                + "pool = \"p\"\n"
                + "[routes.live.websocket]\n");
        for (int cell = 0; cell < 3; cell++) {
            Harness.Client client = harness.client()
                    .raw(Harness.Client.head(
                            "GET",
                            "/search/live/1",
                            2_000,
                            TunnelLoopback.UPGRADE + TunnelLoopback.CHAT + "X-Account: " + accountOf(cell, 0) + "\r\n",
                            0));
            assertEquals(101, client.answer().status());
            WebSocketClient ws = new WebSocketClient(client.socket, true);
            ws.send(1, true, ("to " + cell).getBytes(StandardCharsets.US_ASCII));
            assertEquals("to " + cell, ws.message().text());
            int open = 0;
            for (PeerStub s : serversOfCell(cell)) {
                open += tunnels[servers.indexOf(s)].get();
            }
            assertEquals(1, open);
        }
    }

    /** SIGTERM while a fence holds a request: it gets a response before the process ends. */
    @Test
    void heldRequestIsAnsweredBeforeShutdown() throws Exception {
        String account = accountOf(0, 0);
        sidecar(6, arrived::add, "");
        harness.client().raw(book(account, "running"));
        PeerStub.ReceivedRequest running = takeArrived();
        harness.reload(file(move(account, 1, "fence = \"750ms\"\n")));
        Harness.Client second = harness.client().raw(book(account, "second"));
        CountDownLatch ended = harness.stop();
        servers.forEach(s -> s.script(PeerStub.serves("ok")));
        for (PeerStub s : servers) {
            s.received.forEach(seen -> {
                if (seen.request().body().equals("second")) {
                    reply(seen);
                }
            });
        }
        running.reply("200 OK", "", "running");
        int status = second.answer().status();
        assertTrue(status == 200 || status == 504, "status " + status);
        assertTrue(ended.await(10, TimeUnit.SECONDS));
    }

    private static void reply(PeerStub.ReceivedRequest seen) {
        try {
            seen.reply("200 OK", "", "ok");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
