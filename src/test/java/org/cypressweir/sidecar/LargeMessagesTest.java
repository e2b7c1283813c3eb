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

/** Large messages, which are streamed or buffered within a budget. */
@Timeout(60)
class LargeMessagesTest {

    private static final int LARGE = 5_000_001;

    @TempDir
    Path folder;

    private PeerStub server;
    private PeerStub secondServer;
    private Harness harness;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @BeforeEach
    void start() throws Exception {
        server = new PeerStub(PeerStub.SILENT);
        secondServer = new PeerStub(PeerStub.SILENT);
        harness = new Harness(folder, server).start();
    }

    @AfterEach
    void end() throws Exception {
        harness.close();
        server.close();
        secondServer.close();
    }

    private static byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        new SplittableRandom(count).nextBytes(bytes);
        return bytes;
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + harness.address.getPort() + path))
                .header("Request-Id", Harness.Client.id())
                .header("Tenant", "acme")
                .header("Request-Timeout-Ms", "20000")
                .timeout(Duration.ofSeconds(30));
    }

    private static String head(String more) {
        return "HTTP/1.1 200 OK\r\nServer-Load: TEXT cpu=0.5\r\n" + more + "\r\n";
    }

    /** Sends a response in one of the framings, in chunks of odd lengths. */
    private static void answer(PeerStub.ReceivedRequest seen, String framing, byte[] body, int count)
            throws IOException {
        OutputStream out = seen.socket().getOutputStream();
        seen.raw(head(
                switch (framing) {
                    case "length" -> "Content-Length: " + body.length + "\r\n";
                    case "chunked" -> "Transfer-Encoding: chunked\r\n";
                    default -> "Connection: close\r\n";
                }));
        for (int at = 0; at < count; ) {
            int part = Math.min(count - at, 40_009);
            if (framing.equals("chunked")) {
                seen.raw(Integer.toHexString(part) + ";of=it\r\n");
            }
            out.write(body, at, part);
            at += part;
            if (framing.equals("chunked")) {
                seen.raw("\r\n");
            }
        }
        if (count == body.length && framing.equals("chunked")) {
            seen.raw("0\r\nTrailing: yes\r\n\r\n");
        }
        if (count < body.length) {
            seen.socket().setSoLinger(true, 0);
        }
        if (count < body.length || framing.equals("close")) {
            seen.socket().close();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void largeResponseIsForwardedUnchangedInAnyFraming(String framing) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, framing, body, body.length));
        for (int i = 0; i < 2; i++) {
            HttpResponse<byte[]> got =
                    client.send(request("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray());
            assertEquals(200, got.statusCode());
            assertArrayEquals(body, got.body());
            assertTrue(got.headers().firstValue("Server-Load").isEmpty());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void http10ClientSeesTheEndOfTheConnection(String framing) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, framing, body, body.length));
        Harness.Client old = harness.client()
                .raw(Harness.Client.head("GET", "/search/k", 20_000, "", 0).replace("HTTP/1.1", "HTTP/1.0"));
        byte[] all = old.socket.getInputStream().readAllBytes();
        String head = new String(all, 0, 200, StandardCharsets.ISO_8859_1);
        assertTrue(head.startsWith("HTTP/1.1 200") && !head.contains("chunked"), head);
        assertArrayEquals(body, Arrays.copyOfRange(all, all.length - body.length, all.length));
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked", "close"})
    void truncatedResponseIsNotTakenForComplete(String framing) throws Exception {
        byte[] body = bytes(LARGE);
        server.script(seen -> answer(seen, framing, body, LARGE / 2));
        assertThrows(
                IOException.class,
                () -> client.send(request("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray()));
        server.script(PeerStub.serves("next"));
        assertEquals(
                "next",
                client.send(request("/search/k1").build(), HttpResponse.BodyHandlers.ofString())
                        .body());
    }

    /**
     * Small responses are buffered until complete, so an incomplete one can be rejected without closing the client
     * connection.
     */
    @Test
    void smallResponseEndedByAResetIsRejected() throws Exception {
        server.script(seen -> answer(seen, "close", bytes(100), 100));
        assertArrayEquals(
                bytes(100),
                client.send(request("/search/k1").build(), HttpResponse.BodyHandlers.ofByteArray())
                        .body());
        server.script(seen -> answer(seen, "close", bytes(100), 50));
        assertEquals(
                502,
                client.send(
                                request("/book/k1")
                                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString())
                        .statusCode());
    }

    /** The first bytes reach the client while the server still sends the rest. */
    @Test
    void partialResponseIsForwardedAtOnce() throws Exception {
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
                client.send(request("/search/k1").build(), HttpResponse.BodyHandlers.ofInputStream());
        assertArrayEquals(Arrays.copyOf(body, 1_000), got.body().readNBytes(1_000));
        seen.countDown();
        assertArrayEquals(Arrays.copyOfRange(body, 1_000, LARGE), got.body().readAllBytes());
    }

    /** A server is not read faster than the client reads; the bytes buffered in between stay few. */
    @Test
    void slowReadersUseLittleMemory() throws Exception {
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
        long pendingBytes =
                harness.loop.submit(() -> harness.sidecar.pendingWriteBytes()).get();
        assertTrue(pendingBytes < 24 * 64 * 1024, pendingBytes + " bytes wait");
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
    void largeRequestIsBufferedAndRetried(String framing) throws Exception {
        byte[] body = bytes(LARGE);
        harness.loop.submit(() -> harness.sidecar.listReceived(list())).get();
        AtomicBoolean rejectedOnce = new AtomicBoolean();
        PeerStub.Script once =
                seen -> seen.reply(rejectedOnce.getAndSet(true) ? "200 OK" : "503 Full", "Not-Started: 1\r\n", "");
        server.script(once);
        secondServer.script(once);
        HttpRequest.BodyPublisher publisher = HttpRequest.BodyPublishers.ofByteArray(body);
        HttpRequest.Builder request = request("/book/k1")
                .POST(framing.equals("chunked") ? HttpRequest.BodyPublishers.fromPublisher(publisher) : publisher);
        CompletableFuture<HttpResponse<String>> answer = client.sendAsync(
                framing.equals("expect") ? request.expectContinue(true).build() : request.build(),
                HttpResponse.BodyHandlers.ofString());
        assertEquals(200, answer.get(30, TimeUnit.SECONDS).statusCode());
        assertArrayEquals(body, received(server.take().request()));
        assertArrayEquals(body, received(secondServer.take().request()));
        assertEquals(
                0,
                harness.loop.submit(() -> harness.sidecar.largeRequestBytes()).get());
    }

    private ServerList list() {
        ServerList.Entry first = entry(server);
        return new ServerList(2, true, List.of(first, entry(secondServer)));
    }

    private static ServerList.Entry entry(PeerStub stub) {
        return new ServerList.Entry(
                new Server(stub.port(), 0, 0, 0, Phase.READY, 0, 1), new InetSocketAddress("127.0.0.1", stub.port()));
    }

    /**
     * More than fits in the buffer budget: some are rejected without having reached a server, and the others are
     * served.
     */
    @Test
    void largeRequestsShareTheBufferBudget() throws Exception {
        server.script(PeerStub.serves("ok"));
        byte[] body = bytes(20 * 1024 * 1024);
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            answers.add(client.sendAsync(
                    request("/book/k1")
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
        assertEquals(served, server.received.size());
        for (int i = 0; i < served; i++) {
            assertArrayEquals(body, received(server.take().request()));
        }
        assertEquals(
                0,
                harness.loop.submit(() -> harness.sidecar.largeRequestBytes()).get());
    }

    @Test
    void disconnectDuringALargeRequestReleasesItsBuffer() throws Exception {
        Harness.Client half = harness.client()
                .raw(Harness.Client.head("POST", "/book/k", 5_000, "", 20 * 1024 * 1024) + "x".repeat(100_000));
        while (harness.loop.submit(() -> harness.sidecar.largeRequestBytes()).get() == 0) {
            Thread.onSpinWait();
        }
        half.close();
        while (harness.loop.submit(() -> harness.sidecar.largeRequestBytes()).get() != 0) {
            Thread.onSpinWait();
        }
    }
}
