package org.cypressweir.dataplane.http.server;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cypressweir.dataplane.http.server.HttpListenerFixture.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Malformed requests and the status with which each is rejected. In the test data {@code ~} stands for CR LF, {@code ^}
 * for CR, {@code _} for LF.
 */
@Timeout(60)
class RequestStrictnessTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '!',
            ignoreLeadingAndTrailingWhitespace = false,
            value = {
                "400!GET / HTTP/1.1_Host: a__",
                "400!GET / HTTP/1.1~Host: a_~",
                "400!GET / HTTP/1.1~Host: a~_",
                "400!GET / HTTP/1.1^Host: a~~",
                "400!GET / HTTP/1.1~Host: a^b~~",
                "400!^GET / HTTP/1.1~Host: a~~",
                "400!GET / HTTP/1.1~Host : a~~",
                "400!GET / HTTP/1.1~Host: a~X : b~~",
                "400!GET / HTTP/1.1~Host: a~X: b~ c~~",
                "400!GET / HTTP/1.1~Host: a~X: b~\tc~~",
                "400!GET / HTTP/1.1~ Host: a~~",
                "400!GET / HTTP/1.1~Host: a~X: \u0001~~",
                "400!GET / HTTP/1.1~Host: a~X: \u007f~~",
                "400!GET / HTTP/1.1~Host: a~X\u00e4: b~~",
                "400!GET / HTTP/1.1~Host: a~X: b\u0000c~~",
                "400!GET / HTTP/1.1~Host: a~: b~~",
                "400!GET / HTTP/1.1~Host: a~Xb~~",
                "400!GET / HTTP/1.1~~",
                "400!GET / HTTP/1.1~Host: a~Host: a~~",
                "400!GET / HTTP/1.1~Host: ~~",
                "400!GET / HTTP/1.1~Host: a b~~",
                "400!GET / HTTP/1.1~Host: a/b~~",
                "400!GET / HTTP/1.1~Host: a:b~~",
                "400!GET / HTTP/1.1~Host: u@a~~",
                "400!GET / HTTP/1.1~Host: [::~~",
                "400!GET / HTTP/1.1~Host: a, b~~",
                "400!GET / HTTP/2.0~Host: a~~",
                "400!GET / HTTP/1.2~Host: a~~",
                "400!GET / HTTP/0.9~Host: a~~",
                "400!GET / http/1.1~Host: a~~",
                "400!GET /~~",
                "400!GET  / HTTP/1.1~~",
                "400!GET / HTTP/1.1 ~Host: a~~",
                "400!GET /a b HTTP/1.1~Host: a~~",
                "400!GET a HTTP/1.1~Host: a~~",
                "400!GET /\u0000 HTTP/1.1~Host: a~~",
                "400!GET /\u00e4 HTTP/1.1~Host: a~~",
                "400!GET /#f HTTP/1.1~Host: a~~",
                "400!GET http:///p HTTP/1.1~Host: a~~",
                "400!GET http://u@b/p HTTP/1.1~Host: a~~",
                "400!CONNECT a:80 HTTP/1.1~Host: a~~",
                "400!GET * HTTP/1.1~Host: a~~",
                "400!G(T / HTTP/1.1~Host: a~~",
                "400! GET / HTTP/1.1~Host: a~~",
                "400!GET\t/ HTTP/1.1~Host: a~~",
                "400!~~GET / HTTP/1.1~Host: a~~",
                "400!POST / HTTP/1.1~Host: a~Content-Length: +1~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 0x1~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 1 1~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: ~~",
                "400!POST / HTTP/1.1~Host: a~Content-Length: -1~~",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 1,1~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 1~Content-Length: 2~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 9999999999999999999~~x",
                "400!POST / HTTP/1.1~Host: a~Content-Length: 1~Transfer-Encoding: chunked~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Content-Length: 0~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked, chunked~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: identity~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: \u000bchunked~~0~~",
                "400!POST / HTTP/1.0~Host: a~Transfer-Encoding: chunked~~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~+1~x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0x1~x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1 ~x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1_x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~xy~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~x_0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~~x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~100000001~x~0~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~X : y~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~X: y~ z~~",
                "400!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~Trailer: y^z~~",
                "413!POST / HTTP/1.1~Host: a~Content-Length: 100001~~x",
                "413!POST / HTTP/1.1~Host: a~Expect: 100-continue~Content-Length: 100001~~",
                "413!POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~186a1~",
                "417!POST / HTTP/1.1~Host: a~Expect: wonders~Content-Length: 1~~x",
            })
    void rejects(int status, String request) throws IOException {
        String bytes = request.replace("~", "\r\n").replace('^', '\r').replace('_', '\n');
        // A chunk that is too large is rejected only once its bytes are received.
        bytes += bytes.endsWith("186a1\r\n") ? "x".repeat(100_001) : "";
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client client = fixture.client()) {
            client.send(bytes);
            assertThat(client.readHead())
                    .startsWith("HTTP/1.1 " + status + " ")
                    .containsIgnoringCase("connection: close\r\n");
            client.readAll();
            assertThat(fixture.handled).isEmpty();
        }
    }

    @Test
    void rejectsAHeadLargerThanTheCurrentLimit() throws IOException {
        String head = "GET / HTTP/1.1\r\nHost: a\r\nX: ";
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client reused = fixture.client();
                Client client = fixture.client()) {
            String largest = head + "x".repeat(2_000 - head.length() - 4) + "\r\n\r\n";
            assertThat(reused.send(largest).readBody()).isEqualTo("GET a / ");
            assertThat(client.send(head + "x".repeat(2_000)).readHead()).startsWith("HTTP/1.1 431 ");
            fixture.limits = new RequestLimits(1_999, 10, 20_000, 20_000);
            assertThat(reused.send(largest).readHead()).startsWith("HTTP/1.1 431 ");
        }
    }

    private static final String[] VALID = {
        "POST /a?b=c HTTP/1.1\r\nHost: Ab.c:80\r\nContent-Length: 12\r\n\r\nGET / HTTP/1",
        "PUT /d HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n1a;f=g\r\n"
                + "abcdefghijklmnopqrstuvwxyz\r\n0\r\nTrailer: h\r\n\r\n",
        "GET http://i/j HTTP/1.1\r\nHost: k\r\nX-Long: l\r\nConnection: keep-alive\r\n\r\n"
    };
    private static final String MUTATIONS = "\r\n \t:;,0123456789abcdefgxABC/+-\0\u00ff";
    private static final Pattern HEAD = Pattern.compile("\\G(?:\r\n)?([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) "
            + "HTTP/1\\.[01]\r\n((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\u0080-\u00ff]*\r\n)*)\r\n");
    private static final Pattern LENGTH = Pattern.compile("(?imd)^content-length:[ \t]*([0-9]+)[ \t]*\r$");
    private static final Pattern CHUNKED = Pattern.compile("(?imd)^transfer-encoding:[ \t]*chunked[ \t]*\r$");
    private static final Pattern CHUNK = Pattern.compile("\\G0*([0-9a-fA-F]{1,6})(?:;[\t -~\u0080-\u00ff]*)?\r\n");
    private static final Pattern TRAILER = Pattern.compile("\\G([^\r\n]+\r\n)*\r\n");

    /** Parses requests by the framing rules of RFC 9112 alone, up to the first invalid one. */
    private static List<String> parseRequests(String bytes) {
        List<String> found = new ArrayList<>();
        Matcher head = HEAD.matcher(bytes);
        int position = 0;
        while (head.find(position) && head.start() == position) {
            position = head.end();
            Matcher length = LENGTH.matcher(head.group(3));
            StringBuilder body = new StringBuilder();
            if (CHUNKED.matcher(head.group(3)).find()) {
                Matcher chunk = CHUNK.matcher(bytes);
                int size = -1;
                while (size != 0) {
                    if (!chunk.find(position)) {
                        return found;
                    }
                    size = Integer.parseInt(chunk.group(1), 16);
                    position = chunk.end() + size + (size > 0 ? 2 : 0);
                    if (position > bytes.length()) {
                        return found;
                    }
                    body.append(bytes, chunk.end(), chunk.end() + size);
                }
                Matcher trailer = TRAILER.matcher(bytes);
                if (!trailer.find(position)) {
                    return found;
                }
                position = trailer.end();
            } else if (length.find()) {
                int size = Integer.parseInt(length.group(1));
                if (position + size > bytes.length()) {
                    return found;
                }
                body.append(bytes, position, position + size);
                position += size;
            }
            String target = head.group(2).replaceFirst("(?i)^http://[^/?]*", "");
            String slash = target.startsWith("/") || target.equals("*") ? "" : "/";
            found.add(head.group(1) + " " + slash + target + " " + body);
        }
        return found;
    }

    /** Mutated bytes are never handled as a request that was not sent, and other clients are still served. */
    @Test
    void mutatedRequestsAreNotMisinterpreted() throws IOException {
        Random random = new Random(7);
        int handledCount = 0;
        try (HttpListenerFixture fixture = new HttpListenerFixture(HttpListenerFixture.DEFAULT_LIMITS);
                Client wellBehaved = fixture.client()) {
            for (int i = 0; i < 2_000; i++) {
                StringBuilder bytes = new StringBuilder();
                for (int k = 0; k < 3; k++) {
                    bytes.append(VALID[random.nextInt(VALID.length)]);
                }
                for (int k = random.nextInt(4); k >= 0; k--) {
                    int position = random.nextInt(bytes.length());
                    String inserted = String.valueOf(MUTATIONS.charAt(random.nextInt(MUTATIONS.length())));
                    int end = position + (random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(2) * random.nextInt(9));
                    bytes.replace(position, end, random.nextInt(3) == 0 ? "" : inserted);
                }
                int port;
                try (Client client = fixture.client()) {
                    port = client.socket.getLocalPort();
                    client.send(bytes.toString());
                    assertThat(wellBehaved.send(VALID[i % 2]).readBody())
                            .isEqualTo(
                                    i % 2 == 0
                                            ? "POST ab.c /a?b=c GET / HTTP/1"
                                            : "PUT e /d abcdabcdefghijklmnopqrstuvwxyz");
                    client.socket.shutdownOutput();
                    client.readAll();
                }
                List<String> handled = new ArrayList<>();
                for (String request : fixture.handled.getOrDefault(port, List.of())) {
                    // The host is left out, since it does not depend on the framing.
                    int first = request.indexOf(' ');
                    handled.add(request.substring(0, first) + request.substring(request.indexOf(' ', first + 1)));
                }
                fixture.handled.clear();
                List<String> sent = parseRequests(bytes.toString());
                String escaped = bytes.toString().replace("\r", "\\r").replace("\0", "\\0");
                assertThat(handled.size()).as("%s", escaped).isLessThanOrEqualTo(sent.size());
                assertThat(handled).as("%s", escaped).isEqualTo(sent.subList(0, handled.size()));
                handledCount += handled.size();
            }
        }
        assertThat(handledCount).isBetween(1_000, 5_999);
    }
}
