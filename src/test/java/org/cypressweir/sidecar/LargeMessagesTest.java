package org.cypressweir.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;
import org.cypressweir.testkit.PeerStub;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages that are not kept whole, or only within a budget. */
@Timeout(60)
class LargeMessagesTest {

    private static final int LARGE = 5_000_001;

    @TempDir
    Path folder;

    private PeerStub server;
    private PeerStub other;
    private Harness harness;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.SILENT);
        other = new PeerStub(PeerStub.SILENT);
        harness = new Harness(folder, server).start();
    }

    @AfterEach
    void end() throws Exception {
        harness.close();
        server.close();
        other.close();
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new SplittableRandom(count).nextBytes(bytes);
        return bytes;
    }

    private HttpRequest.Builder ask(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + harness.address.getPort() + path))
                .header("Request-Id", Harness.Client.id())
                .header("Tenant", "acme")
                .header("Request-Timeout-Ms", "20000")
                .timeout(Duration.ofSeconds(30));
    }

    private static String head(String more) {
        return "HTTP/1.1 200 OK\r\nServer-Load: TEXT cpu=0.5\r\n" + more + "\r\n";
    }

    /** An answer in one of the ways that bound it, in parts of odd lengths. */
    private static void answer(PeerStub.Seen seen, String how, byte[] body, int count) throws IOException {
        OutputStream out = seen.socket().getOutputStream();
        seen.raw(head(
                switch (how) {
                    case "length" -> "Content-Length: " + body.length + "\r\n";
                    case "chunked" -> "Transfer-Encoding: chunked\r\n";
                    default -> "Connection: close\r\n";
                }));
        for (int at = 0; at < count; ) {
            int part = Math.min(count - at, 40_009);
            if (how.equals("chunked")) {
                seen.raw(Integer.toHexString(part) + ";of=it\r\n");
            }
            out.write(body, at, part);
            at += part;
            if (how.equals("chunked")) {
                seen.raw("\r\n");
            }
        }
        if (count == body.length && how.equals("chunked")) {
            seen.raw("0\r\nTrailing: yes\r\n\r\n");
        }
        if (count < body.length) {
            seen.socket().setSoLinger(true, 0);
        }
        if (count < body.length || how.equals("close")) {
            seen.socket().close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void aLargeAnswerComesAsItWasInWhateverForm(String how) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, how, body, body.length));
        for (int i = 0; i < 2; i++) {
            HttpResponse<byte[]> got = client.send(ask("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray());
            assertEquals(200, got.statusCode());
            assertArrayEquals(body, got.body());
            assertTrue(got.headers().firstValue("Server-Load").isEmpty());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void anOlderClientSeesTheEndOfTheConnection(String how) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, how, body, body.length));
        Harness.Client old = harness.client()
                .raw(Harness.Client.head("GET", "/search/k", 20_000, "", 0).replace("HTTP/1.1", "HTTP/1.0"));
        byte[] all = old.socket.getInputStream().readAllBytes();
        String head = new String(all, 0, 200, StandardCharsets.ISO_8859_1);
        assertTrue(head.startsWith("HTTP/1.1 200") && !head.contains("chunked"), head);
        assertArrayEquals(body, Arrays.copyOfRange(all, all.length - body.length, all.length));
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void anAnswerThatBreaksOffIsNotTakenForWhole(String how) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, how, body, LARGE / 2));
        assertThrows(
                IOException.class,
                () -> client.send(ask("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray()));
        server.script(PeerStub.serves("next"));
        assertEquals(
                "next",
                client.send(ask("/search/k1").build(), HttpResponse.BodyHandlers.ofString())
                        .body());
    }

    /** Small ones are kept until they are whole, and may be cut short without the end of a connection. */
    @Test
    void aSmallAnswerWithoutBoundsIsWholeOnlyWithAnOrderlyEnd() throws Exception {
        server.script(seen -> answer(seen, "close", bytes(100), 100));
        assertArrayEquals(
                bytes(100),
                client.send(ask("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray())
                        .body());
        server.script(seen -> answer(seen, "close", bytes(100), 50));
        assertEquals(
                502,
                client.send(
                                ask("/book/k1")
                                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }

    /** The first bytes are there while the server still gives the rest. */
    @Test
    void whatHasComeIsPassedOnAtOnce() throws Exception {
        CountDownLatch seen = new CountDownLatch(1);
        byte[] body = bytes(LARGE);
        server.script(s -> {
            s.raw(head("Content-Length: " + LARGE + "\r\n"));
            s.socket().getOutputStream().write(body, 0, 1_000);
            try {
                assertTrue(seen.await(20, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            s.socket().getOutputStream().write(body, 1_000, LARGE - 1_000);
        });
        HttpResponse<InputStream> got =
                client.send(ask("/search/k1").build(), HttpResponse.BodyHandlers.ofInputStream());
        assertArrayEquals(Arrays.copyOf(body, 1_000), got.body().readNBytes(1_000));
        seen.countDown();
        assertArrayEquals(Arrays.copyOfRange(body, 1_000, LARGE), got.body().readAllBytes());
    }

    /** A server is not read faster than a client takes; what waits in between stays small. */
    @Test
    void manySlowReadersCostLittleMemory() throws Exception {
        byte[] body = bytes(32 * 1024 * 1024);
        server.script(seen -> answer(seen, "length", body, body.length));
        List<Harness.Client> readers = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            readers.add(harness.client().search(20_000));
        }
        for (Harness.Client reader : readers) {
            assertEquals(
                    "HTTP/1.1 200 OK",
                    new String(reader.socket.getInputStream().readNBytes(15), StandardCharsets.US_ASCII));
        }
        long waiting = harness.loop.submit(() -> harness.sidecar.waitingBytes()).get();
        assertTrue(waiting < 24 * 64 * 1024, waiting + " bytes wait");
        for (Harness.Client reader : readers.subList(1, 24)) {
            reader.close();
        }
        InputStream in = readers.get(0).socket.getInputStream();
        byte[] rest = in.readNBytes(body.length);
        assertEquals(body.length, rest.length);
    }

    private byte[] received(RawHttpClient.Message message) {
        return message.body().getBytes(StandardCharsets.ISO_8859_1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "expect"})
    void aLargeRequestIsKeptAndMayGoOutAgain(String how) throws Exception {
        byte[] body = bytes(LARGE);
        harness.loop.submit(() -> harness.sidecar.listed(list())).get();
        AtomicBoolean turnedAway = new AtomicBoolean();
        PeerStub.Script once =
                seen -> seen.reply(turnedAway.getAndSet(true) ? "200 OK" : "503 Full", "Not-Started: 1\r\n", "");
        server.script(once);
        other.script(once);
        HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofByteArray(body);
        HttpRequest.Builder ask = ask("/book/k1")
                .POST(how.equals("chunked") ? HttpRequest.BodyPublishers.fromPublisher(publisher) : publisher);
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                how.equals("expect") ? ask.expectContinue(true).build() : ask.build(),
                HttpResponse.BodyHandlers.ofString());
        assertEquals(200, answer.get(30, TimeUnit.SECONDS).statusCode());
        assertArrayEquals(body, received(server.take().request()));
        assertArrayEquals(body, received(other.take().request()));
        assertEquals(0, harness.loop.submit(() -> harness.sidecar.keptBytes()).get());
    }

    private ServerList list() {
        ServerList.Entry first = entry(server);
        return new ServerList(2, true, List.of(first, entry(other)));
    }

    private static ServerList.Entry entry(PeerStub stub) {
        return new ServerList.Entry(
                new Server(stub.port(), 0, 0, 0, Phase.READY, 0, 1), new InetSocketAddress("127.0.0.1", stub.port()));
    }

    /** More than there is room for at once: some are refused, which is true, and the others served. */
    @Test
    void largeRequestsShareTheRoom() throws Exception {
        server.script(PeerStub.serves("ok"));
        byte[] body = bytes(20 * 1024 * 1024);
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            answers.add(client.sendAsync(
                    ask("/book/k1")
                            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                            .build(),
                    HttpResponse.BodyHandlers.ofString()));
        }
        int served = 0;
        for (var answer : answers) {
            int status = answer.get(30, TimeUnit.SECONDS).statusCode();
            assertTrue(status == 200 || status == 503, "answered " + status);
            served += status == 200 ? 1 : 0;
        }
        assertTrue(served >= 1, "none was served");
        assertEquals(served, server.seen.size());
        for (int i = 0; i < served; i++) {
            assertArrayEquals(body, received(server.take().request()));
        }
        assertEquals(0, harness.loop.submit(() -> harness.sidecar.keptBytes()).get());
    }

    @Test
    void whatLeavesBeforeItIsWholeGivesItsRoomBack() throws Exception {
        Harness.Client half = harness.client()
                .raw(Harness.Client.head("POST", "/book/k", 5_000, "", 20 * 1024 * 1024) + "x".repeat(100_000));
        while (harness.loop.submit(() -> harness.sidecar.keptBytes()).get() == 0) {
            Thread.onSpinWait();
        }
        half.close();
        while (harness.loop.submit(() -> harness.sidecar.keptBytes()).get() != 0) {
            Thread.onSpinWait();
        }
    }
}
