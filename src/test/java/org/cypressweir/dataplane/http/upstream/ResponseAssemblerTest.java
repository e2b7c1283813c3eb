package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.SEAL;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.head;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.response;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.ServerConnection;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.SubmittedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseAssemblerTest {
    private static final String NOT_EXECUTED = "Cypressweir-Not-Executed: 1\r\n";
    private static final String CHUNKED = SEAL + "Transfer-Encoding: chunked\r\n\r\n";

    private UpstreamFixture fixture;

    @BeforeEach
    void open() throws Exception {
        fixture = new UpstreamFixture(4);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    /** A response is truncated after each number of bytes from none to all, by an orderly close and by a reset. */
    @ParameterizedTest
    @ValueSource(strings = {"sized", "chunked", "unbounded", "not executed"})
    void truncatedResponseMeansMayHaveRun(String kind) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            int length = bytes(kind, "a-0000").length();
            for (int truncatedAt = 0; truncatedAt <= length; truncatedAt++) {
                SubmittedRequest request = fixture.submit("POST", truncatedAt % 2 == 0, "one", "hello");
                ServerConnection connection = fixture.accept();
                connection.readHead();
                connection.readBody(5);
                String bytes = bytes(kind, request.id);
                truncatedAt = Math.min(truncatedAt, bytes.length());
                connection.write(bytes.substring(0, truncatedAt));
                boolean complete = truncatedAt == bytes.length() && !kind.equals("unbounded");
                RequestOutcome early = complete ? request.outcome() : null;
                if (reset) {
                    connection.reset();
                } else {
                    connection.socket.close();
                }
                if (!complete) {
                    assertThat(request.mayHaveRunReason())
                            .as("%s truncated at %d", kind, truncatedAt)
                            .isNotEmpty();
                } else {
                    assertThat(early).isNotInstanceOf(RequestOutcome.MayHaveRun.class);
                    length = 0;
                }
                assertThat(request.outcomes).isEmpty();
                // Wait until the dispatcher has noticed the end of an idle connection.
                while (fixture.callOnLoop(fixture.dispatcher::connectionCount) > 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    private static String bytes(String kind, String id) {
        return switch (kind) {
            case "sized" -> response(id, "0123456789");
            case "chunked" -> head("200 OK", id, CHUNKED) + "4\r\nabcd\r\n0\r\n\r\n";
            case "not executed" -> response("503 Full", id, NOT_EXECUTED, "full");
            default -> head("200 OK", id, SEAL) + "\r\n0123456789";
        };
    }

    @Test
    void invalidResponseMeansMayHaveRun() throws Exception {
        List<String> invalidResponses = new ArrayList<>(List.of(
                "junk\r\n\r\n",
                "\u0000\u0001\u0002 nothing\r\n\r\n",
                "HTTP/1.1 2x0 OK\r\n\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                response("200 OK", "ID", "", "no seal"),
                response("201 Created", "ID", "", ""),
                response("200 OK", "ID", SEAL + "Content-Encoding: gzip\r\n", "zip"),
                response("500 Oops", "ID", "Content-Encoding: gzip\r\n", "zip"),
                response("200 OK", "ID", SEAL + NOT_EXECUTED, ""),
                response("200 OK", "ID", SEAL + "no colon\r\n", ""),
                response("200 OK", "ID", SEAL + "Content-Length: 7\r\n", "abc"),
                response("200 OK", "ID", SEAL + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
                response("200 OK", "ID", SEAL + RequestEncoder.ATTEMPT_ID + ": other\r\n", ""),
                "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Length: 0\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Content-Length: -1\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Content-Length: 16777217\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Transfer-Encoding: gzip\r\n\r\nxx",
                head("200 OK", "ID", SEAL) + "\r\nno end",
                head("200 OK", "ID", CHUNKED) + "zz\r\nabc\r\n0\r\n\r\n",
                head("200 OK", "ID", CHUNKED) + "3\r\nabcdef\r\n0\r\n\r\n",
                head("101 Switching", "ID", SEAL) + "Upgrade: x\r\nConnection: upgrade\r\n\r\n"));
        for (String bytes : invalidResponses) {
            SubmittedRequest request = fixture.get();
            ServerConnection connection = fixture.accept();
            connection.readHead();
            connection.write(bytes.replace("ID", request.id));
            assertThat(request.outcome()).as(bytes).isInstanceOf(RequestOutcome.MayHaveRun.class);
            assertThat(connection.isClosedByClient()).as(bytes).isTrue();
        }
    }

    @Test
    void responseToAnotherRequestIsIgnored() throws Exception {
        SubmittedRequest first = fixture.get();
        ServerConnection connection = fixture.accept();
        connection.readHead();
        connection.write(response(first.id, "one"));
        first.response();
        SubmittedRequest second = fixture.post();
        connection.readHead();
        connection.readBody(5);
        // Two late duplicate responses to the first request; one states that it was not executed.
        connection.write(response("503 Full", first.id, NOT_EXECUTED, ""));
        connection.write(response("200 OK", first.id, "", "late")).write(response(second.id, "two"));
        assertThat(second.response()).isEqualTo("200 two");
        assertThat(connection.isClosedByClient()).isTrue();
        SubmittedRequest third = fixture.get();
        ServerConnection next = fixture.accept();
        next.readHead();
        next.write(response(second.id, "no"));
        next.socket.close();
        assertThat(third.mayHaveRunReason()).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "HTTP/1.1 200 OK\r\nCypressweir-Attempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"})
    void surplusBytesCloseTheConnection(String surplus) throws Exception {
        SubmittedRequest first = fixture.get();
        ServerConnection connection = fixture.accept();
        connection.readHead();
        connection.write(response(first.id, "one") + surplus);
        assertThat(first.response()).isEqualTo("200 one");
        assertThat(connection.isClosedByClient()).isTrue();
        SubmittedRequest second = fixture.get();
        connection = fixture.accept();
        connection.readHead();
        connection.write(response(second.id, "two"));
        assertThat(second.response()).isEqualTo("200 two");
        connection.write(surplus);
        assertThat(connection.isClosedByClient()).isTrue();
    }

    @Test
    void responseBeforeTheEndOfTheRequestClosesTheConnection() throws Exception {
        SubmittedRequest request = fixture.submit("PUT", false, "one", "x".repeat(16_000_000));
        ServerConnection connection = fixture.accept();
        assertThat(connection.readHead()).contains("Content-Length: 16000000");
        connection.write(response("503 Full", request.id, NOT_EXECUTED + SEAL, ""));
        assertThat(request.rejection()).isEqualTo(RejectionReason.FULL);
        assertThat(connection.readBody(16_000_000).length()).isLessThan(16_000_000);
    }

    @ParameterizedTest
    @CsvSource({"503,1,FULL", "429,1,FULL", "421,1,MISDIRECTED", "421,0,MISDIRECTED", "400,1,REFUSED"})
    void serverSaysThatTheRequestWasNotExecuted(int status, int notExecuted, RejectionReason reason) throws Exception {
        SubmittedRequest request = fixture.post();
        ServerConnection connection = fixture.accept();
        connection.readHead();
        connection.readBody(5);
        connection.write(response(status + " No", request.id, notExecuted == 1 ? NOT_EXECUTED : "", "no"));
        assertThat(request.rejection()).isEqualTo(reason);
        // Without the header the same status is a response, and the connection is reused.
        SubmittedRequest ordinary = fixture.post();
        connection.readHead();
        connection.readBody(5);
        connection.write(response("503 No", ordinary.id, "", "no"));
        assertThat(ordinary.response()).isEqualTo("503 no");
    }
}
