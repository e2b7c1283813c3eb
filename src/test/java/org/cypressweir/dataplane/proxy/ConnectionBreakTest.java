package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.cypressweir.testkit.RawHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A connection to the application or between proxies may break at any byte, and each break has exactly one correct
 * outcome. Tests every byte for a non-idempotent request in one encoding, and every 37th byte for the other variants;
 * -Dbreaks=1 tests every byte for all of them.
 */
@Timeout(600)
class ConnectionBreakTest {

    private static final int STRIDE = Integer.getInteger("breaks", 37);

    private static final int MUTATIONS = Integer.getInteger("mutants", 400);
    private static final List<String> INSERTED_TEXTS = List.of(
            "\r\n",
            "\n",
            "\r",
            " ",
            "\0",
            ":",
            "0",
            "\r\n\r\n",
            "\r\n ",
            "Content-Length: 1\r\n",
            "Transfer-Encoding: chunked\r\n");

    private PeerForwardingFixture fixture;
    private int ids;

    @BeforeEach
    void open() throws Exception {
        fixture = new PeerForwardingFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** The status and the number of executions of a non-idempotent request; an idempotent one always gets 200. */
    @ParameterizedTest
    @CsvSource({
        "request to the application, 502, 0",
        "response of the application, 502, 1",
        "forwarded request, 502, 0",
        "forwarded response, 502, 1"
    })
    void eachBreakHasOneOutcome(String where, int status, int runs) throws Exception {
        for (int variant = 0; variant < 8; variant++) {
            boolean idempotent = variant % 2 == 1;
            boolean chunked = variant / 2 % 2 == 1;
            boolean keepAlive = variant / 4 == 1;
            fixture.response =
                    "HTTP/1.1 200 OK\r\n" + PeerForwardingFixture.ID + ": ID\r\nCypressweir-Server-Seal: s\r\n"
                            + (keepAlive ? "" : "Connection: close\r\n")
                            + (chunked
                                    ? "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"
                                    : "Content-Length: 4\r\n\r\nfine");
            fixture.breakNext(PeerForwardingFixture.Break.none(), false);
            assertThat(fixture.request(request(nextId(), false, chunked, keepAlive))
                            .status())
                    .isEqualTo(200);
            int bytes = where.equals("response of the application") ? fixture.response.length() : fixture.bytes(where);
            assertThat(bytes).isGreaterThan(90);
            for (int at = 1; at < bytes; at += variant == 0 ? 1 : STRIDE) {
                fixture.breakNext(
                        new PeerForwardingFixture.Break(
                                where.equals("request to the application") ? at : -1,
                                where.equals("response of the application") ? at : -1,
                                where.equals("forwarded request") ? at : -1,
                                where.equals("forwarded response") ? at : -1),
                        idempotent);
                String id = nextId();
                RawHttpClient.Message response = fixture.request(request(id, idempotent, chunked, keepAlive));
                assertThat(response).isNotNull();
                assertThat(response.status() + " " + (idempotent ? "" : fixture.runs(id)))
                        .as("%s, %d, variant %d", where, at, variant)
                        .isEqualTo((idempotent ? 200 : status) + " " + (idempotent ? "" : runs));
                assertThat(fixture.runs(id)).isBetween(idempotent ? 1 : 0, idempotent ? 2 : 1);
                assertThat(response.body()).isEqualTo(response.status() == 200 ? "fine" : response.body());
            }
        }
    }

    /** All ids have the same length, so that breaks at the same byte are comparable. */
    private String nextId() {
        return "c" + (100_000 + ++ids);
    }

    private static String request(String id, boolean idempotent, boolean chunked, boolean keepAlive) {
        return "POST " + (idempotent ? "/idempotent" : "/once") + " HTTP/1.1\r\nHost: a\r\n" + PeerForwardingFixture.ID
                + ": "
                + id
                + "\r\n" + (keepAlive ? "" : "Connection: close\r\n")
                + (chunked
                        ? "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
                        : "Content-Length: 5\r\n\r\nhello");
    }

    @Test
    void withoutABreakItRunsOnce() throws Exception {
        fixture.breakNext(PeerForwardingFixture.Break.NONE, false);
        for (int variant = 0; variant < 8; variant++) {
            String id = "c" + ++ids;
            assertThat(fixture.request(request(id, variant % 2 == 1, variant / 2 % 2 == 1, variant / 4 == 1))
                            .status())
                    .isEqualTo(200);
            assertThat(fixture.runs(id)).isEqualTo(1);
        }
    }

    /** Two lengths, a length and chunks, folded headers, bare line feeds: ambiguous requests are rejected. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
                "Content-Length: 5, 5\r\n\r\nhello",
                "Content-Length: +5\r\n\r\nhello",
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "Transfer-Encoding: xchunked\r\n\r\n",
                "X: a\r\n b\r\nContent-Length: 0\r\n\r\n",
                "X: a\nContent-Length: 0\r\n\r\n",
                "Content-Length: 0\n\n",
                "X: a\rb\r\nContent-Length: 0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\nhello\n0\n\n"
            })
    void ambiguousRequestIsRejected(String headersAndBody) throws Exception {
        fixture.breakNext(PeerForwardingFixture.Break.NONE, false);
        String smuggled = request("inside", false, false, true);
        RawHttpClient.Message response = fixture.request("POST /once HTTP/1.1\r\nHost: a\r\n" + PeerForwardingFixture.ID
                + ": outside\r\n" + headersAndBody + smuggled);
        assertThat(response.status()).isEqualTo(400);
        assertThat(fixture.runs()).isEmpty();
    }

    /** Sends mutated requests and responses beside valid ones; -Dmutants=N sends more. */
    @Test
    void mutatedMessagesAffectNoOtherRequest() throws Exception {
        fixture.breakNext(PeerForwardingFixture.Break.NONE, false);
        Set<String> nonIdempotentIds = new HashSet<>();
        for (int seed = 0; seed < MUTATIONS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            String mutatedId = Long.toHexString(random.nextLong());
            boolean idempotent = random.nextInt(2) == 0;
            if (!idempotent) {
                nonIdempotentIds.add(mutatedId);
            }
            String bytes = request(mutatedId, idempotent, random.nextInt(2) == 0, true);
            fixture.mutatedId = random.nextInt(2) == 0 ? mutatedId : "";
            fixture.mutation = text -> mutate(text, random);
            try (Socket socket = fixture.client()) {
                String sent = fixture.mutatedId.isEmpty() ? mutate(bytes, random) : bytes;
                socket.getOutputStream().write(sent.getBytes(StandardCharsets.ISO_8859_1));
                socket.shutdownOutput();
                if (seed % 4 == 0) {
                    // Needs a new handler: one that got only broken responses from its single endpoint ejects it.
                    fixture.breakNext(PeerForwardingFixture.Break.NONE, false);
                    String validId = "g" + seed;
                    RawHttpClient.Message response = fixture.request(request(validId, false, seed % 8 == 0, false));
                    assertThat(response.status() + response.body())
                            .as("seed %d", seed)
                            .isEqualTo("200fine");
                    assertThat(fixture.runs(validId)).isEqualTo(1);
                }
            }
        }
        nonIdempotentIds.forEach(id -> assertThat(fixture.runs(id)).as(id).isLessThan(2));
    }

    private static String mutate(String text, SplittableRandom random) {
        StringBuilder bytes = new StringBuilder(text);
        for (int times = 1 + random.nextInt(3); times > 0; times--) {
            int at = random.nextInt(bytes.length());
            switch (random.nextInt(4)) {
                case 0 -> bytes.setCharAt(at, (char) random.nextInt(256));
                case 1 -> bytes.deleteCharAt(at);
                case 2 -> bytes.insert(at, INSERTED_TEXTS.get(random.nextInt(INSERTED_TEXTS.size())));
                default -> bytes.insert(at, bytes.substring(at, Math.min(bytes.length(), at + 30)));
            }
        }
        return bytes.toString();
    }
}
