package org.cypressweir.dataplane.http.server;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cypressweir.dataplane.http.server.HttpListenerFixture.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class HttpListenerTest {

    private static final String GET = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String HOLD = "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n";
    private static final String CHUNKS = "PUT /y HTTP/1.1\r\nHost: A:8\r\nTransfer-Encoding: Chunked\r\n\r\n"
            + "2;q=1\r\nab\r\n1\r\nc\r\n0\r\nT: u\r\n\r\n";

    @Test
    void pipelinedRequestsAreHandledInOrderHoweverTheirBytesArrive() throws IOException {
        String all = GET + CHUNKS + "\r\n"
                + "POST http://B/p?q HTTP/1.1\r\nHost: c\r\nContent-Length: 3\r\n\r\nGET"
                + "OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\n\r\n" + GET;
        List<String> responses =
                List.of("GET a /x ", "PUT a /y abc", "POST b /p?q GET", "OPTIONS [::1] * ", "GET a /x ");
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client atOnce = fixture.client();
                Client byteByByte = fixture.client()) {
            atOnce.send(all);
            for (char c : all.toCharArray()) {
                byteByByte.send(String.valueOf(c));
            }
            for (String response : responses) {
                assertThat(atOnce.readBody()).isEqualTo(response);
                assertThat(byteByByte.readBody()).isEqualTo(response);
            }
        }
    }

    @Test
    void nextRequestWaitsForThePreviousResponse() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client client = fixture.client()) {
            client.send(HOLD + HOLD + "POST /z HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n");
            client.send("z".repeat(90_000));
            ServerRequest first = fixture.nextPending();
            fixture.runOnLoop(() -> {
                assertThat(fixture.pending).isEmpty();
                assertThat(fixture.listener.requestsOpen()).isEqualTo(1);
                assertThat(first.answer(ServerResponse.text(404, "no").withHeader("X", "y")))
                        .isTrue();
                assertThat(first.answer(ServerResponse.of(200))).isFalse();
            });
            assertThat(client.readHead())
                    .startsWith("HTTP/1.1 404 Not Found\r\n")
                    .contains("X: y\r\n");
            assertThat(client.socket.getInputStream().readNBytes(3)).asString().isEqualTo("no\n");
            ServerRequest second = fixture.nextPending();
            assertThat(second.headers()).containsExactly(Map.entry("Host", "a"));
            fixture.runOnLoop(() -> second.answer(ServerResponse.of(204)));
            assertThat(client.readHead()).isEqualToIgnoringCase("HTTP/1.1 204 No Content\r\n\r\n");
            assertThat(client.readBody()).isEqualTo("POST a /z " + "z".repeat(90_000));
        }
    }

    @Test
    void supportsHeadExpectContinueAndHttp10AndRespondsToHandlerFailures() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client client = fixture.client();
                Client http10 = fixture.client()) {
            client.send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(client.readHead()).containsIgnoringCase("content-length: 10\r\n");
            client.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-Continue\r\n\r\n");
            assertThat(client.readHead()).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
            assertThat(client.send("ok").readBody()).isEqualTo("POST a /x ok");
            assertThat(client.send("GET /fail HTTP/1.1\r\nHost: a\r\n\r\n").readHead())
                    .contains(" 500 ");
            assertThat(client.socket.getInputStream().readNBytes(7)).asString().isEqualTo("failed\n");
            client.send("GET /x HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n");
            assertThat(client.readAll())
                    .containsIgnoringCase("connection: close\r\n")
                    .endsWith("\r\n\r\nGET a /x ");
            http10.send("GET /x HTTP/1.0\r\nHost: a\r\nConnection: Keep-Alive\r\n\r\n");
            assertThat(http10.readHead()).containsIgnoringCase("connection: keep-alive\r\n");
            assertThat(http10.socket.getInputStream().readNBytes(9)).asString().isEqualTo("GET a /x ");
            assertThat(http10.send("GET /x HTTP/1.0\r\n\r\n").readAll()).endsWith("\r\n\r\nGET  /x ");
        }
    }

    @Test
    void handlerCannotBreakTheFraming() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client client = fixture.client()) {
            ServerResponse conflictingHeaders =
                    ServerResponse.of(200).withHeader("Content-Length", "7").withHeader("Transfer-Encoding", "chunked");
            client.send(HOLD);
            ServerRequest request = fixture.nextPending();
            fixture.runOnLoop(() -> request.answer(conflictingHeaders.withHeader("Connection", "close")));
            assertThat(client.readHead()).isEqualToIgnoringCase("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            client.send(HOLD);
            ServerRequest other = fixture.nextPending();
            fixture.runOnLoop(() -> other.answer(conflictingHeaders.withHeader("X", "a\r\nY: b")));
            assertThat(client.readHead()).startsWith("HTTP/1.1 500 ").doesNotContain("Y");
        }
    }

    @Test
    void timeoutsEndConnections() throws IOException {
        try (HttpListenerFixture fixture = new HttpListenerFixture(new RequestLimits(2_000, 1_000, 40, 20_000));
                Client head = fixture.client();
                Client body = fixture.client();
                Client chunk = fixture.client()) {
            head.send("GET / HT");
            body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabc");
            chunk.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
            for (Client client : List.of(head, body, chunk)) {
                assertThat(client.readAll()).startsWith("HTTP/1.1 408 ").containsIgnoringCase("connection: close");
            }
            assertThat(fixture.handled).isEmpty();
        }
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client silent = fixture.client();
                Client keptAlive = fixture.client();
                Client busy = fixture.client()) {
            busy.send(HOLD);
            assertThat(keptAlive.send(GET).readBody()).isEqualTo("GET a /x ");
            fixture.limits = new RequestLimits(2_000, 1_000, 20_000, 40);
            assertThat(silent.readAll()).isEmpty();
            assertThat(keptAlive.readAll()).isEmpty();
            assertThat(fixture.listener.requestsOpen()).isEqualTo(1);
        }
    }

    @Test
    void unreadResponseAndLingeringCloseTimeOut() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client nonReading = fixture.client();
                Client invalid = fixture.client();
                Client wellBehaved = fixture.client()) {
            nonReading.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n");
            assertThat(nonReading.readHead()).startsWith("HTTP/1.1 200 ");
            assertThat(invalid.send("?\r\n").readAll()).startsWith("HTTP/1.1 400 ");
            while (fixture.listener.connections() > 1) {
                fixture.clockOffset.addAndGet(10_000);
                assertThat(wellBehaved.send(GET).readBody()).isEqualTo("GET a /x ");
            }
        }
    }

    @Test
    void handlerIsNotifiedOfADisconnect() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS)) {
            ServerRequest request;
            CompletableFuture<Void> notified = new CompletableFuture<>();
            try (Client client = fixture.client()) {
                client.send(HOLD + GET);
                request = fixture.nextPending();
                fixture.runOnLoop(() -> request.onDisconnect(() -> notified.complete(null)));
                assertThat(request.isOpen()).isTrue();
            }
            notified.get(20, TimeUnit.SECONDS);
            fixture.runOnLoop(() -> {
                assertThat(request.isOpen()).isFalse();
                assertThat(request.answer(ServerResponse.of(200))).isFalse();
            });
            assertThat(fixture.listener.requestsOpen()).isZero();
            assertThat(fixture.listener.connections()).isZero();
        }
    }

    @Test
    void drainClosesEachConnectionAfterItsResponse() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client silent = fixture.client();
                Client keptAlive = fixture.client();
                Client busy = fixture.client();
                Client partialHead = fixture.client()) {
            partialHead.send("GET /x HTTP/1.1\r\n");
            assertThat(keptAlive.send(GET).readBody()).isEqualTo("GET a /x ");
            busy.send(HOLD);
            ServerRequest request = fixture.nextPending();
            fixture.listener.drain();
            assertThat(silent.readAll()).isEmpty();
            assertThat(keptAlive.readAll()).isEmpty();
            fixture.runOnLoop(() -> request.answer(ServerResponse.of(200)));
            assertThat(busy.readAll()).startsWith("HTTP/1.1 200 OK").containsIgnoringCase("connection: close");
            assertThat(partialHead.send("Host: a\r\n\r\n").readAll()).containsIgnoringCase("connection: close");
            try (Client late = fixture.client()) {
                assertThat(late.send(GET).readAll())
                        .containsIgnoringCase("connection: close")
                        .endsWith("/x ");
            }
            fixture.listener.stopListening();
            fixture.awaitNextSelect();
            assertThatThrownBy(fixture::client).isInstanceOf(IOException.class);
        }
    }

    @Test
    void slowClientsAndFullBuffersDoNotAffectOtherClients() throws Exception {
        RequestLimits large = new RequestLimits(2_000, 32 << 20, 20_000, 20_000);
        try (HttpListenerFixture fixture = new HttpListenerFixture(large);
                Client nonReading = fixture.client();
                Client bufferHolder = fixture.client();
                Client rejectedByLength = fixture.client();
                Client rejectedWhileReceiving = fixture.client();
                Client wellBehaved = fixture.client()) {
            nonReading.send("GET /large HTTP/1.1\r\nHost: a\r\n\r\n" + GET);
            bufferHolder.send("POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 20000000\r\n\r\n");
            bufferHolder.send("x".repeat(20_000_000));
            assertThat(fixture.nextPending().body()).hasSize(20_000_000);
            rejectedByLength.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000\r\n\r\n");
            assertThat(rejectedByLength.readAll())
                    .startsWith("HTTP/1.1 503 ")
                    .containsIgnoringCase("retry-after: 0.2\r\n");
            rejectedWhileReceiving.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n800000\r\n");
            rejectedWhileReceiving.send("x".repeat(4_500_000));
            assertThat(rejectedWhileReceiving.readAll()).startsWith("HTTP/1.1 503 ");
            for (int i = 0; i < 100; i++) {
                assertThat(wellBehaved.send(GET).readBody()).isEqualTo("GET a /x ");
            }
            bufferHolder.socket.close();
            String again = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n" + "y".repeat(10_000_000);
            while (fixture.listener.requestsOpen() > 0) {
                Thread.onSpinWait();
            }
            assertThat(wellBehaved.send(again).readBody()).hasSize(10_000_010);
            assertThat(nonReading.readBody()).hasSize(16 << 20);
            assertThat(nonReading.readBody()).isEqualTo("GET a /x ");
        }
    }

    @Test
    void openReportsAnAddressInUse() throws Exception {
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS)) {
            MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            assertThatThrownBy(() -> HttpListener.open(
                            group,
                            fixture.listener.address(),
                            () -> HttpListenerFixture.DEFAULT_LIMITS,
                            () -> 0,
                            c -> {}))
                    .isInstanceOf(IOException.class)
                    .hasMessageMatching("cannot listen on \\S+:\\d+: .*in use");
            group.shutdownGracefully(0, 5, TimeUnit.SECONDS);
        }
    }

    @Test
    void endToEndHeadersLeaveOutHopByHopOnes() {
        List<Map.Entry<String, String>> all = List.of(
                Map.entry("A", "1"),
                Map.entry("connection", "close , b"),
                Map.entry("B", "2"),
                Map.entry("TE", "x"),
                Map.entry("a", "3"),
                Map.entry("content-length", "4"));
        assertThat(Headers.endToEnd(all)).containsExactly(Map.entry("A", "1"), Map.entry("a", "3"));
        assertThat(Headers.without(all, "CONNECTION", "a", "te"))
                .extracting(Map.Entry::getValue)
                .containsExactly("2", "4");
        assertThat(Headers.first(all, "b")).isEqualTo("2");
        assertThat(Headers.first(all, "c")).isNull();
    }
}
