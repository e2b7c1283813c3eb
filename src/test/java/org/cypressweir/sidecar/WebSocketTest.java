package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.net.http.WebSocketHandshakeException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.sidecar.websocket.UpgradeAccount.Counters;
import org.cypressweir.sidecar.websocket.UpgradeAccount.State;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.cypressweir.testkit.WebSocketClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** WebSockets through a sidecar with real sockets. */
@Timeout(120)
class WebSocketTest extends Loopback {

    private static final String UPGRADE_HEADERS = "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
            + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " + WebSocketClient.KEY + "\r\n";

    private Harness harness;

    private static String file(String limits, PeerStub... servers) {
        StringBuilder text = new StringBuilder("version = 1\n[pools.p]\nsource = \"static\"\nservers = [\n");
        for (PeerStub server : servers) {
            text.append("  { id = \"s-")
                    .append(server.port())
                    .append("\", endpoint = \"127.0.0.1:")
                    .append(server.port())
                    .append("\", zone = \"a\" },\n");
        }
        text.append("]\n");
        for (String name : List.of("search", "book")) {
            text.append("[routes.")
                    .append(name)
                    .append("]\npath = \"/")
                    .append(name)
                    .append("/*\"\nclass = \"")
                    .append(name)
                    .append("\"\npool = \"p\"\n[routes.")
                    .append(name)
                    .append(".websocket]\n")
                    .append(limits);
        }
        return text.toString();
    }

    private void sidecar(String limits, PeerStub... servers) throws Exception {
        harness = new Harness(folder);
        open.add(harness);
        harness.startWith(file(limits, servers));
    }

    private Counters counters() {
        return harness.counters();
    }

    private static String ask(String path, String more) {
        return Harness.Client.head("GET", path, 2_000, more, 0);
    }

    private WebSocketClient open(Harness.Client client) throws IOException {
        client.raw(ask("/search/1", UPGRADE_HEADERS));
        RawHttpClient.Message answer = client.answer();
        assertEquals(101, answer.status());
        assertEquals(
                WebSocketClient.acceptKey(WebSocketClient.KEY), answer.headers().get("Sec-WebSocket-Accept"));
        return new WebSocketClient(client.socket, true);
    }

    /** Waits until every upgrade has ended, and asserts that the counters add up. */
    private void assertEnded(long asked) throws Exception {
        Counters counters = counters();
        while (harness.loop
                .submit(() -> {
                    long last = 0;
                    for (State state : State.values()) {
                        last += state.isFinal() ? counters.count(state) : 0;
                    }
                    return last < counters.asked() || counters.asked() < asked;
                })
                .get()) {
            Thread.onSpinWait();
        }
        assertTrue(harness.loop.submit(counters::isConsistent).get(), counters.toString());
        assertEquals(asked, counters.asked(), counters.toString());
    }

    // ---- Handshake

    @Test
    void handshakeAndItsResponseAreForwarded() throws Exception {
        PeerStub server =
                server(seen -> WebSocketClient.acceptUpgrade(seen, "Sec-WebSocket-Protocol: b\r\nX-More: 1\r\n"));
        sidecar("", server);
        Harness.Client client = harness.client()
                .raw(ask(
                        "/search/1?x=2",
                        UPGRADE_HEADERS
                                + "Sec-WebSocket-Protocol: a, b\r\nSec-WebSocket-Protocol: c\r\n"
                                + "Sec-WebSocket-Extensions: x-odd, permessage-deflate; client_max_window_bits\r\n"));
        RawHttpClient.Message answer = client.answer();
        assertEquals(101, answer.status());
        assertEquals("b", answer.headers().get("Sec-WebSocket-Protocol"));
        assertEquals("1", answer.headers().get("X-More"));
        assertEquals("Upgrade", answer.headers().get("Connection"));
        assertNull(answer.headers().get("Content-Length"));
        RawHttpClient.Message seen = server.take().request();
        assertEquals("GET /search/1?x=2 HTTP/1.1", seen.firstLine());
        assertEquals("websocket", seen.headers().get("Upgrade"));
        assertEquals("Upgrade", seen.headers().get("Connection"));
        assertEquals(WebSocketClient.KEY, seen.headers().get("Sec-WebSocket-Key"));
        assertEquals(
                "permessage-deflate; client_max_window_bits", seen.headers().get("Sec-WebSocket-Extensions"));
        assertNotNull(seen.headers().get("Request-Id"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "Sec-WebSocket-Version: 13 | Sec-WebSocket-Version: 8 | 426",
                "Sec-WebSocket-Version: 13 | X: y | 426",
                "dGhlIHNhbXBsZSBub25jZQ== | short | 400",
                "Sec-WebSocket-Key | X-Key | 400",
                "Upgrade: websocket | Upgrade: websocket, h2c | 400",
                "Sec-WebSocket-Version: 13 | Sec-WebSocket-Version: 13\\r\\nContent-Length: 3 | 400",
                "Sec-WebSocket-Version: 13 | Sec-WebSocket-Version: 13\\r\\nTransfer-Encoding: chunked | 400",
                "Sec-WebSocket-Version: 13 | Sec-WebSocket-Version: 13\\r\\nSec-WebSocket-Protocol: a, a | 400",
            })
    void invalidHandshakesAreRejected(String from, String to, int status) throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("", server);
        String more = UPGRADE_HEADERS.replace(
                from.strip(), to.strip().replace("\\r", "\r").replace("\\n", "\n"));
        String body = more.contains("chunked") ? "1\r\na\r\n0\r\n\r\n" : more.contains("Length: 3") ? "abc" : "";
        RawHttpClient.Message answer =
                harness.client().raw(ask("/search/1", more) + body).answer();
        assertEquals(status, answer.status());
        assertEquals(status == 426 ? "13" : null, answer.headers().get("Sec-WebSocket-Version"));
        assertTrue(server.received.isEmpty());
        assertEquals(0, counters().asked());
    }

    /** h2c, and upgrades on a route without them, are plain requests; their connection is kept. */
    @Test
    void otherUpgradesAreHandledAsPlainRequests() throws Exception {
        PeerStub server = server(PeerStub.serves("plain"));
        sidecar("", server);
        Harness.Client client = harness.client();
        for (int i = 0; i < 3; i++) {
            client.raw(ask(
                    "/search/1",
                    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                            + "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"));
            assertEquals("plain", client.answer().body());
            assertNull(server.take().request().headers().get("Upgrade"));
            assertEquals(200, client.search(2_000).answer().status());
            server.take();
        }
        // Bytes after such a request are not part of it.
        client.raw(ask("/search/1", "Connection: Upgrade\r\nUpgrade: h2c\r\n") + "GET /pay HTTP/1.1\r\n\r\n");
        assertEquals(400, client.answer().status());
        assertEquals(0, counters().asked());
    }

    /** After each of these responses the request may have run, so a non-idempotent upgrade is never retried. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 101 OK\\r\\nUpgrade: websocket\\r\\nConnection: Upgrade\\r\\n"
                        + "Sec-WebSocket-Accept: no\\r\\n\\r\\n | 502",
                "HTTP/1.1 101 OK\\r\\nUpgrade: h2c\\r\\nConnection: Upgrade\\r\\n"
                        + "Sec-WebSocket-Accept: OK\\r\\n\\r\\n | 502",
                "HTTP/1.1 101 OK\\r\\nConnection: Upgrade\\r\\nSec-WebSocket-Accept: OK\\r\\n\\r\\n | 502",
                "HTTP/1.1 101 OK\\r\\nUpgrade: websocket\\r\\nConnection: Upgrade\\r\\nSec-WebSocket-Accept: OK\\r\\n"
                        + "Sec-WebSocket-Protocol: odd\\r\\n\\r\\n | 502",
                "HTTP/1.1 101 OK\\r\\nUpgrade: websocket\\r\\nConnection: Upgrade\\r\\nSec-WebSocket-Accept: OK\\r\\n"
                        + "Sec-WebSocket-Extensions: permessage-deflate\\r\\n\\r\\n | 502",
                "HTTP/1.1 404 No\\r\\nContent-Length: 2\\r\\nX-Why: no\\r\\n\\r\\nno | 404",
                "HTTP/1.1 200 OK\\r\\nContent-Length: 2\\r\\n\\r\\nok | 200",
                "HTTP/1.1 302 Go\\r\\nLocation: /b\\r\\nContent-Length: 0\\r\\n\\r\\n | 302",
                "HTTP/1.1 503 No\\r\\nContent-Length: 0\\r\\n\\r\\n | 502",
                "HTTP/1.1 429 No\\r\\nContent-Length: 0\\r\\n\\r\\n | 502",
                "HTTP/1.1 10 | 502",
                "HTTP/1.1 101 OK\\r\\nUpg | 502",
                "'' | 502",
            })
    void failedHandshakeGivesOneResponse(String text, int status) throws Exception {
        PeerStub.Script script = seen -> {
            seen.raw(text.strip()
                    .replace("\\r", "\r")
                    .replace("\\n", "\n")
                    .replace("OK\r\n\r\n", "OK\r\n\r\n")
                    .replace("Accept: OK", "Accept: " + WebSocketClient.acceptKey(WebSocketClient.KEY)));
            seen.socket().close();
        };
        PeerStub one = server(script);
        PeerStub two = server(script);
        sidecar("", one, two);
        Harness.Client client = harness.client().raw(ask("/book/1", UPGRADE_HEADERS));
        RawHttpClient.Message answer = client.answer();
        assertEquals(status, answer.status());
        if (status == 404) {
            assertEquals("no", answer.body());
            assertEquals("no", answer.headers().get("X-Why"));
        }
        client.assertClosed();
        assertEquals(1, one.received.size() + two.received.size());
        assertEnded(1);
        assertEquals(1, counters().count(State.FAILED));
    }

    @Test
    void rejectedUpgradeIsRetriedOnAnotherServer() throws Exception {
        PeerStub one = server(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        PeerStub two = server(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        PeerStub.Script once = seen -> {
            one.script(WebSocketClient.echo());
            two.script(WebSocketClient.echo());
            seen.reply("503 Full", "Not-Started: 1\r\n", "");
        };
        one.script(once);
        two.script(once);
        sidecar("", one, two);
        Harness.Client client = harness.client().raw(ask("/book/1", UPGRADE_HEADERS));
        assertEquals(101, client.answer().status());
        WebSocketClient ws = new WebSocketClient(client.socket, true).text("hello");
        assertEquals("hello", ws.message().text());
        assertEquals(2, one.received.size() + two.received.size());
    }

    @Test
    void rejectionWithoutAServerHasRetryAfter() throws Exception {
        PeerStub full = server(PeerStub.answers("503 Full", "Not-Started: 1\r\n", ""));
        sidecar("", full);
        RawHttpClient.Message answer =
                harness.client().raw(ask("/search/1", UPGRADE_HEADERS)).answer();
        assertEquals(503, answer.status());
        assertNotNull(answer.headers().get("Retry-After"));
        assertEnded(1);
        assertEquals(1, counters().count(State.REFUSED));
    }

    @Test
    void response101ToAPlainRequestIsAnError() throws Exception {
        PeerStub server = server(seen -> seen.raw(WebSocketClient.switchingProtocols(WebSocketClient.KEY, "")));
        sidecar("", server);
        assertEquals(502, harness.client().book("x", 1_000).answer().status());
    }

    @Test
    void clientDisconnectBefore101CancelsTheUpgrade() throws Exception {
        PeerStub server = server(PeerStub.SILENT);
        sidecar("", server);
        Harness.Client client = harness.client().raw(ask("/search/1", UPGRADE_HEADERS));
        PeerStub.ReceivedRequest pending = server.take();
        client.close();
        server.awaitEnd();
        assertThrows(IOException.class, () -> {
            while (true) {
                pending.raw(WebSocketClient.switchingProtocols(WebSocketClient.KEY, ""));
            }
        });
        assertEnded(1);
        assertEquals(1, counters().count(State.GONE));
    }

    // ---- Bytes around the handshake

    /** The first frames arrive in one packet with the handshake, on both sides. */
    @Test
    void framesSentWithTheHandshakeAreKept() throws Exception {
        PeerStub server = server(seen -> {
            ByteArrayOutputStream both = new ByteArrayOutputStream();
            both.writeBytes(
                    WebSocketClient.switchingProtocols(WebSocketClient.KEY, "").getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < 10; i++) {
                both.writeBytes(WebSocketClient.frame(false, 0x81, ("s" + i).getBytes(StandardCharsets.US_ASCII)));
            }
            seen.socket().getOutputStream().write(both.toByteArray());
            WebSocketClient ws = new WebSocketClient(seen.socket(), false);
            for (WebSocketClient.Frame f; (f = ws.read()) != null; ) {
                ws.send(f.opcode(), f.fin(), f.payload());
            }
        });
        sidecar("", server);
        Harness.Client client = harness.client();
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(ask("/search/1", UPGRADE_HEADERS).getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < 10; i++) {
            both.writeBytes(WebSocketClient.frame(true, 0x81, ("c" + i).getBytes(StandardCharsets.US_ASCII)));
        }
        client.socket.getOutputStream().write(both.toByteArray());
        assertEquals(101, client.answer().status());
        WebSocketClient ws = new WebSocketClient(client.socket, true);
        List<String> got = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            got.add(ws.message().text());
        }
        for (int i = 0; i < 10; i++) {
            assertEquals("s" + i, got.get(i));
            assertEquals("c" + i, got.get(10 + i));
        }
    }

    @Test
    void framesBefore101AreKeptUpToALimit() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> {
            awaitQuietly(release);
            WebSocketClient.Frame first =
                    WebSocketClient.acceptUpgrade(seen, "").message();
            received.add(first == null ? "nothing" : first.text());
        });
        sidecar("", server);
        Harness.Client client = harness.client().raw(ask("/search/1", UPGRADE_HEADERS));
        server.take();
        WebSocketClient ws = new WebSocketClient(client.socket, true);
        ws.text("early");
        Harness.Client greedy = harness.client().raw(ask("/search/1", UPGRADE_HEADERS));
        server.take();
        greedy.socket.getOutputStream().write(WebSocketClient.frame(true, 0x82, new byte[100_000]));
        assertEquals(400, greedy.answer().status());
        release.countDown();
        while (!received.take().equals("early")) {
            // The server of the oversized client may have received nothing.
            Thread.onSpinWait();
        }
        assertEquals(101, client.answer().status());
    }

    private static void awaitQuietly(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    // ---- Tunnel

    @Test
    void controlFramesPassBetweenFragments() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("", server);
        WebSocketClient ws = open(harness.client());
        ws.send(1, false, "a".getBytes(StandardCharsets.US_ASCII))
                .send(9, true, new byte[] {7})
                .send(0, true, "b".getBytes(StandardCharsets.US_ASCII));
        List<Integer> opcodes = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            opcodes.add(ws.read().opcode());
        }
        assertEquals(List.of(1, 10, 0), opcodes);
    }

    @ParameterizedTest
    @CsvSource({"c10141, 1002", "830141, 1002", "0900, 1002", "818100000000ff, 1007", "888100000000ff, 1002"})
    void invalidClientFramesCloseBothSides(String hex, int code) throws Exception {
        BlockingQueue<Integer> serverCloseCodes = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> serverCloseCodes.add(
                WebSocketClient.acceptUpgrade(seen, "").message().code()));
        sidecar("", server);
        WebSocketClient ws = open(harness.client());
        byte[] wrong = io.netty.buffer.ByteBufUtil.decodeHexDump(hex);
        if ((wrong[1] & 0x80) == 0) {
            wrong[1] |= (byte) 0x80;
            wrong = Arrays.copyOf(wrong, wrong.length + 4);
        }
        ws.raw(wrong);
        assertEquals(code, ws.message().code());
        assertEquals(1001, serverCloseCodes.take());
        assertEnded(1);
        assertEquals(1, counters().count(State.CLOSED_BY_CLIENT));
    }

    @Test
    void invalidServerFramesCloseBothSides() throws Exception {
        BlockingQueue<Integer> serverCloseCodes = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            ws.raw(new byte[] {(byte) 0x83, 0});
            serverCloseCodes.add(ws.message().code());
        });
        sidecar("", server);
        WebSocketClient ws = open(harness.client());
        assertEquals(1011, ws.message().code());
        assertEquals(1002, serverCloseCodes.take());
    }

    @Test
    void oversizedMessageIsRejectedByItsHeader() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("max_message = 1000\nmax_frame = 600\n", server);
        WebSocketClient ws = open(harness.client());
        ws.raw(new byte[] {(byte) 0x82, (byte) 0xfe, 2, (byte) 0x59, 0, 0, 0, 0});
        assertEquals(1009, ws.message().code());
    }

    /** A server fails in the middle of a frame: the client receives complete frames and a close. */
    @Test
    void serverFailureWithinAFrameLeavesCompleteFrames() throws Exception {
        PeerStub server = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            byte[] frame = WebSocketClient.frame(false, 0x82, new byte[50_000]);
            ws.raw(Arrays.copyOf(frame, 20_000));
            seen.socket().close();
        });
        sidecar("", server);
        WebSocketClient ws = open(harness.client());
        int bytes = 0;
        WebSocketClient.Frame last = null;
        for (WebSocketClient.Frame f; (f = ws.read()) != null && f.opcode() != 8; ) {
            bytes += f.payload().length;
            assertTrue(!f.fin(), "an incomplete message was marked as complete");
            last = f;
        }
        assertNotNull(last);
        assertEquals(20_000 - 4, bytes);
        assertEnded(1);
        assertEquals(1, counters().count(State.BROKEN));
    }

    @Test
    void serverFailureGives1011AndClientFailureGives1001() throws Exception {
        BlockingQueue<Integer> serverCloseCodes = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> {
            WebSocketClient.acceptUpgrade(seen, "");
            seen.socket().close();
        });
        sidecar("", server);
        assertEquals(1011, open(harness.client()).message().code());
        server.script(seen -> serverCloseCodes.add(
                WebSocketClient.acceptUpgrade(seen, "").message().code()));
        Harness.Client client = harness.client();
        open(client);
        client.close();
        assertEquals(1001, serverCloseCodes.take());
        assertEnded(2);
        assertEquals(2, counters().count(State.BROKEN));
    }

    @Test
    void closeCodesAreForwarded() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("", server);
        for (int code : new int[] {1000, 1001, 1003, 1008, 3000, 4999}) {
            WebSocketClient ws = open(harness.client()).close(code);
            assertEquals(code, ws.message().code());
            assertNull(ws.read());
        }
        server.script(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "").close(4321);
            ws.message();
        });
        WebSocketClient ws = open(harness.client());
        assertEquals(4321, ws.message().code());
        ws.close(4321);
        assertNull(ws.read());
        assertEnded(7);
        assertEquals(6, counters().count(State.CLOSED_BY_CLIENT));
        assertEquals(1, counters().count(State.CLOSED_BY_SERVER));
    }

    /** A reader that does not read pauses its sender; the bytes buffered in the sidecar are bounded. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slowReaderPausesItsSender(boolean serverReads) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        int messageCount = 4_000;
        byte[] payload = new byte[10_000];
        BlockingQueue<Integer> counted = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            if (serverReads) {
                awaitQuietly(release);
                counted.add(count(ws, messageCount));
            }
            for (int i = 0; !serverReads && i < messageCount; i++) {
                ws.send(2, true, payload);
            }
        });
        sidecar("", server);
        Harness.Client client = harness.client();
        WebSocketClient ws = open(client);
        Thread sending = new Thread(() -> {
            try {
                for (int i = 0; serverReads && i < messageCount; i++) {
                    ws.send(2, true, payload);
                }
            } catch (IOException e) {
                counted.add(-1);
            }
        });
        sending.start();
        // 40 MB are sent, of which the sockets and the sidecar buffer only a few, so the sender blocks.
        sending.join(1_000);
        assertEquals(serverReads, sending.isAlive());
        long waiting =
                harness.loop.submit(() -> harness.sidecar.pendingWriteBytes()).get();
        assertTrue(waiting < 512 * 1024, "waiting " + waiting);
        assertEquals(200, plain(), "others are served meanwhile");
        release.countDown();
        assertEquals(messageCount, serverReads ? counted.take() : count(ws, messageCount));
    }

    private int plain() throws Exception {
        RawHttpClient.Message answer =
                harness.client().raw("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n").answer();
        return answer.status();
    }

    private static int count(WebSocketClient ws, int most) throws IOException {
        int count = 0;
        while (count < most && ws.message() != null) {
            count++;
        }
        return count;
    }

    @Test
    void pingsDetectASilentPeer() throws Exception {
        PeerStub server = server(seen -> WebSocketClient.acceptUpgrade(seen, ""));
        sidecar("ping_interval = \"200ms\"\nping_timeout = \"100ms\"\n", server);
        WebSocketClient ws = open(harness.client());
        // The client answers its pings; the server's script has ended with its socket, or sends nothing.
        for (WebSocketClient.Frame f = ws.read(); f.opcode() != 8; f = ws.read()) {
            assertEquals(9, f.opcode());
            ws.send(10, true, f.payload());
        }
        assertEnded(1);
        assertEquals(1, counters().count(State.BROKEN));
    }

    @Test
    void pongsToTheSidecarsPingsAreNotForwarded() throws Exception {
        BlockingQueue<WebSocketClient.Frame> came = new LinkedBlockingQueue<>();
        PeerStub server = server(seen -> {
            WebSocketClient ws = WebSocketClient.acceptUpgrade(seen, "");
            for (WebSocketClient.Frame f; (f = ws.read()) != null; ) {
                if (f.opcode() == 9) {
                    ws.send(10, true, f.payload());
                } else {
                    came.add(f);
                }
            }
        });
        sidecar("ping_interval = \"100ms\"\nping_timeout = \"100ms\"\n", server);
        WebSocketClient ws = open(harness.client());
        for (int pings = 0; pings < 4; ) {
            WebSocketClient.Frame f = ws.read();
            if (f.opcode() == 9) {
                pings++;
                ws.send(10, true, f.payload());
            }
        }
        ws.send(10, true, new byte[] {1});
        WebSocketClient.Frame first = came.take();
        assertEquals(10, first.opcode());
        assertArrayEquals(new byte[] {1}, first.payload());
    }

    @ParameterizedTest
    @CsvSource({"idle_timeout, idle", "max_life, longest life"})
    void tunnelTimeoutsCloseInOrder(String key, String reason) throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar(key + " = \"1s\"\n", server);
        WebSocketClient ws = open(harness.client());
        WebSocketClient.Frame close = ws.message();
        assertEquals(1001, close.code());
        assertEquals(reason, close.text().substring(2));
        ws.close(1001);
        assertNull(ws.read());
        assertEnded(1);
        assertEquals(1, counters().count(State.CLOSED_BY_SIDECAR));
    }

    // ---- Drain, reload, shutdown

    @Test
    void removedServerHasItsTunnelsClosedWithinTheGracePeriod() throws Exception {
        PeerStub one = server(WebSocketClient.echo());
        PeerStub two = server(WebSocketClient.echo());
        sidecar("", one);
        List<WebSocketClient> all = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            all.add(open(harness.client()));
        }
        harness.reload(file("", two));
        for (WebSocketClient ws : all) {
            assertEquals(1001, ws.message().code());
            ws.close(1001);
        }
        assertEquals("x", open(harness.client()).text("x").message().text());
        assertEquals(1, two.received.size());
    }

    /**
     * A drain begins during the handshake: the 101 is still accepted, and the tunnel closes within the grace period.
     */
    @Test
    void serverDrainDuringTheHandshakeClosesTheTunnel() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
        PeerStub one = server(seen -> {
            awaitQuietly(release);
            received.add(WebSocketClient.acceptUpgrade(seen, "").message().code());
        });
        PeerStub two = server(WebSocketClient.echo());
        sidecar("", one);
        Harness.Client client = harness.client().raw(ask("/search/1", UPGRADE_HEADERS));
        one.take();
        harness.reload(file("", two));
        release.countDown();
        assertEquals(101, client.answer().status());
        assertEquals(1001, received.take());
        assertEquals(1001, new WebSocketClient(client.socket, true).message().code());
    }

    @Test
    void shutdownClosesAllTunnelsInOrder() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("", server);
        List<WebSocketClient> all = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            all.add(open(harness.client()));
        }
        Harness.Client late = harness.client();
        CountDownLatch ended = harness.stopAndAwaitStart();
        RawHttpClient.Message refused =
                late.raw(ask("/search/1", UPGRADE_HEADERS)).answer();
        assertEquals(503, refused.status());
        assertEquals("1", refused.headers().get("Retry-After"));
        for (WebSocketClient ws : all) {
            assertEquals(1001, ws.message().code());
            ws.close(1001);
            assertNull(ws.read());
        }
        assertTrue(ended.await(10, TimeUnit.SECONDS), "something hangs");
        assertEnded(50);
        assertEquals(50, counters().count(State.CLOSED_BY_SIDECAR));
    }

    // ---- Faults at every byte

    /** Either side disconnects after each byte of its part of the handshake; the counters add up, and nothing hangs. */
    @Test
    void disconnectAtEachHandshakeByteIsCountedOnce() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        PeerStub other = server(WebSocketClient.echo());
        sidecar("", server, other);
        String request = ask("/book/1", UPGRADE_HEADERS);
        byte[] answer =
                WebSocketClient.switchingProtocols(WebSocketClient.KEY, "").getBytes(StandardCharsets.US_ASCII);
        byte[] frame = WebSocketClient.frame(false, 0x81, "abc".getBytes(StandardCharsets.US_ASCII));
        byte[] whole = Arrays.copyOf(answer, answer.length + frame.length);
        System.arraycopy(frame, 0, whole, answer.length, frame.length);
        int asked = 0;
        int agreed = 0;
        for (int round = 0; round < 12; round++) {
            for (int at = 0; at <= whole.length; at++) {
                byte[] part = Arrays.copyOf(whole, at);
                PeerStub.Script script = seen -> {
                    seen.socket().getOutputStream().write(part);
                    seen.socket().close();
                };
                server.script(script);
                other.script(script);
                Harness.Client client = harness.client().raw(ask("/book/1", UPGRADE_HEADERS));
                int status = client.answer().status();
                asked++;
                if (at < answer.length) {
                    assertEquals(502, status, "cut at " + at);
                } else {
                    assertEquals(101, status, "cut at " + at);
                    agreed++;
                    WebSocketClient ws = new WebSocketClient(client.socket, true);
                    WebSocketClient.Frame f = ws.read();
                    for (; f.opcode() != 8; f = ws.read()) {
                        assertEquals(
                                "abc".substring(0, Math.min(3, f.payload().length)),
                                f.text().isEmpty() ? "" : "abc".substring(0, f.payload().length));
                    }
                    assertEquals(1011, f.code());
                }
                client.close();
            }
        }
        server.script(PeerStub.SILENT);
        other.script(PeerStub.SILENT);
        for (int at = 0; at < request.length(); at++) {
            harness.client().raw(request.substring(0, at)).close();
        }
        assertEnded(asked);
        assertEquals(agreed, counters().count(State.BROKEN), counters().toString());
        assertEquals(asked - agreed, counters().count(State.FAILED), counters().toString());
        assertEquals(asked, server.received.size() + other.received.size(), "a non-idempotent upgrade was retried");
        assertTrue(harness.stop().await(10, TimeUnit.SECONDS), "an incomplete handshake is left");
    }

    // ---- An independent client

    private static final class RecordingListener implements WebSocket.Listener {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final StringBuilder text = new StringBuilder();
        private final ByteArrayOutputStream binary = new ByteArrayOutputStream();
        private final CompletableFuture<byte[]> message = new CompletableFuture<>();

        @Override
        public CompletionStage<?> onText(WebSocket socket, CharSequence data, boolean last) {
            text.append(data);
            if (last) {
                events.add("text " + text);
                text.setLength(0);
            }
            socket.request(1);
            return null;
        }

        @Override
        public CompletionStage<?> onBinary(WebSocket socket, ByteBuffer data, boolean last) {
            byte[] payload = new byte[data.remaining()];
            data.get(payload);
            binary.writeBytes(payload);
            if (last) {
                message.complete(binary.toByteArray());
            }
            socket.request(1);
            return null;
        }

        @Override
        public CompletionStage<?> onPong(WebSocket socket, ByteBuffer data) {
            events.add("pong " + data.remaining());
            socket.request(1);
            return null;
        }

        @Override
        public CompletionStage<?> onClose(WebSocket socket, int code, String reason) {
            events.add("close " + code + " " + reason);
            return null;
        }
    }

    private WebSocket.Builder builder() {
        return HttpClient.newHttpClient()
                .newWebSocketBuilder()
                .header("Request-Id", Harness.Client.id())
                .header("Tenant", "acme")
                .header("Request-Timeout-Ms", "3000");
    }

    private URI uri() {
        return URI.create("ws://127.0.0.1:" + harness.address.getPort() + "/search/1");
    }

    @Test
    void jdkWebSocketClientIsSupported() throws Exception {
        PeerStub server = server(WebSocketClient.echo());
        sidecar("", server);
        RecordingListener received = new RecordingListener();
        WebSocket socket = builder().buildAsync(uri(), received).get(10, TimeUnit.SECONDS);
        socket.sendText("h\u00e9llo", true).get();
        assertEquals("text h\u00e9llo", received.events.take());
        socket.sendText("in ", false).get();
        socket.sendText("pieces", true).get();
        assertEquals("text in pieces", received.events.take());
        socket.sendPing(ByteBuffer.wrap(new byte[5])).get();
        assertEquals("pong 5", received.events.take());
        byte[] large = new byte[16 << 20];
        new SplittableRandom(16).nextBytes(large);
        socket.sendBinary(ByteBuffer.wrap(large), true).get();
        assertArrayEquals(large, received.message.get(60, TimeUnit.SECONDS));
        socket.sendClose(4000, "bye").get();
        assertEquals("close 4000 bye", received.events.take());
        assertEnded(1);
    }

    @Test
    void subprotocolIsNegotiatedWithTheJdkClient() throws Exception {
        PeerStub server = server(seen -> {
            assertEquals("v2, v1", seen.request().headers().get("Sec-WebSocket-Protocol"));
            WebSocketClient.acceptUpgrade(seen, "Sec-WebSocket-Protocol: v1\r\n")
                    .close(1000);
        });
        sidecar("", server);
        RecordingListener received = new RecordingListener();
        WebSocket socket =
                builder().subprotocols("v2", "v1").buildAsync(uri(), received).get(10, TimeUnit.SECONDS);
        assertEquals("v1", socket.getSubprotocol());
        assertEquals("close 1000 ", received.events.take());
    }

    @Test
    void rejectionByAServerReachesTheJdkClient() throws Exception {
        PeerStub server = server(PeerStub.answers("403 No", "", "not you"));
        sidecar("", server);
        CompletionException failed = assertThrows(
                CompletionException.class,
                () -> builder().buildAsync(uri(), new RecordingListener()).join());
        WebSocketHandshakeException refused = (WebSocketHandshakeException) failed.getCause();
        assertEquals(403, refused.getResponse().statusCode());
        assertNotEquals(0, counters().asked());
    }
}
