package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.SEAL;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.answer;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.head;

import java.util.ArrayList;
import java.util.List;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.Asked;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseAssemblerTest {
    private static final String NOT_EXECUTED = "Cypressweir-Not-Executed: 1\r\n";
    private static final String CHUNKED = SEAL + "Transfer-Encoding: chunked\r\n\r\n";

    private UpstreamFixture wharf;

    @BeforeEach
    void open() throws Exception {
        wharf = new UpstreamFixture(4);
    }

    @AfterEach
    void close() throws Exception {
        wharf.close();
    }

    /** Cut at each of its bytes, at none and after the last, by an orderly end and by a reset. */
    @ParameterizedTest
    @ValueSource(strings = {"sized", "chunked", "unbounded", "not executed"})
    void aBreakAtAnyByteIsNoAnswer(String kind) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            int length = bytes(kind, "a-0000").length();
            for (int cut = 0; cut <= length; cut++) {
                Asked asked = wharf.ask("POST", cut % 2 == 0, "one", "hello");
                Wire wire = wharf.accept();
                wire.head();
                wire.body(5);
                String bytes = bytes(kind, asked.id);
                cut = Math.min(cut, bytes.length());
                wire.write(bytes.substring(0, cut));
                boolean whole = cut == bytes.length() && !kind.equals("unbounded");
                RequestOutcome early = whole ? asked.end() : null;
                if (reset) {
                    wire.reset();
                } else {
                    wire.socket.close();
                }
                if (!whole) {
                    assertThat(asked.mayHaveRun()).as("%s cut at %d", kind, cut).isNotEmpty();
                } else {
                    assertThat(early).isNotInstanceOf(RequestOutcome.MayHaveRun.class);
                    length = 0;
                }
                assertThat(asked.ends).isEmpty();
                // The end of a kept connection has been seen before the next request.
                while (wharf.on(wharf.quay::connections) > 0) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    private static String bytes(String kind, String id) {
        return switch (kind) {
            case "sized" -> answer(id, "0123456789");
            case "chunked" -> head("200 OK", id, CHUNKED) + "4\r\nabcd\r\n0\r\n\r\n";
            case "not executed" -> answer("503 Full", id, NOT_EXECUTED, "full");
            default -> head("200 OK", id, SEAL) + "\r\n0123456789";
        };
    }

    @Test
    void whatIsNotTheServersAnswerMayHaveRun() throws Exception {
        List<String> bad = new ArrayList<>(List.of(
                "junk\r\n\r\n",
                "\u0000\u0001\u0002 nothing\r\n\r\n",
                "HTTP/1.1 2x0 OK\r\n\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
                answer("200 OK", "ID", "", "no seal"),
                answer("201 Created", "ID", "", ""),
                answer("200 OK", "ID", SEAL + "Content-Encoding: gzip\r\n", "zip"),
                answer("500 Oops", "ID", "Content-Encoding: gzip\r\n", "zip"),
                answer("200 OK", "ID", SEAL + NOT_EXECUTED, ""),
                answer("200 OK", "ID", SEAL + "no colon\r\n", ""),
                answer("200 OK", "ID", SEAL + "Content-Length: 7\r\n", "abc"),
                answer("200 OK", "ID", SEAL + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
                answer("200 OK", "ID", SEAL + RequestEncoder.ATTEMPT_ID + ": other\r\n", ""),
                "HTTP/1.1 200 OK\r\n" + SEAL + "Content-Length: 0\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Content-Length: -1\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Content-Length: 16777217\r\n\r\n",
                head("200 OK", "ID", SEAL) + "Transfer-Encoding: gzip\r\n\r\nxx",
                head("200 OK", "ID", SEAL) + "\r\nno end",
                head("200 OK", "ID", CHUNKED) + "zz\r\nabc\r\n0\r\n\r\n",
                head("200 OK", "ID", CHUNKED) + "3\r\nabcdef\r\n0\r\n\r\n",
                head("101 Switching", "ID", SEAL) + "Upgrade: x\r\nConnection: upgrade\r\n\r\n"));
        for (String bytes : bad) {
            Asked asked = wharf.get();
            Wire wire = wharf.accept();
            wire.head();
            wire.write(bytes.replace("ID", asked.id));
            assertThat(asked.end()).as(bytes).isInstanceOf(RequestOutcome.MayHaveRun.class);
            assertThat(wire.ended()).as(bytes).isTrue();
        }
    }

    @Test
    void anAnswerToAnotherRequestIsThrownAwayAndTheOwnAwaited() throws Exception {
        Asked first = wharf.get();
        Wire wire = wharf.accept();
        wire.head();
        wire.write(answer(first.id, "one"));
        first.answered();
        Asked second = wharf.post();
        wire.head();
        wire.body(5);
        // The second answer to the first request comes late, and not from a server that knows what it says.
        wire.write(answer("503 Full", first.id, NOT_EXECUTED, ""));
        wire.write(answer("200 OK", first.id, "", "late")).write(answer(second.id, "two"));
        assertThat(second.answered()).isEqualTo("200 two");
        assertThat(wire.ended()).isTrue();
        Asked third = wharf.get();
        Wire next = wharf.accept();
        next.head();
        next.write(answer(second.id, "no"));
        next.socket.close();
        assertThat(third.mayHaveRun()).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "HTTP/1.1 200 OK\r\nCypressweir-Attempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"})
    void bytesBehindAWholeAnswerCloseTheConnection(String surplus) throws Exception {
        Asked atOnce = wharf.get();
        Wire wire = wharf.accept();
        wire.head();
        wire.write(answer(atOnce.id, "one") + surplus);
        assertThat(atOnce.answered()).isEqualTo("200 one");
        assertThat(wire.ended()).isTrue();
        Asked late = wharf.get();
        wire = wharf.accept();
        wire.head();
        wire.write(answer(late.id, "two"));
        assertThat(late.answered()).isEqualTo("200 two");
        wire.write(surplus);
        assertThat(wire.ended()).isTrue();
    }

    @Test
    void anAnswerBeforeTheWholeRequestEndsTheConnection() throws Exception {
        Asked asked = wharf.ask("PUT", false, "one", "x".repeat(16_000_000));
        Wire wire = wharf.accept();
        assertThat(wire.head()).contains("Content-Length: 16000000");
        wire.write(answer("503 Full", asked.id, NOT_EXECUTED + SEAL, ""));
        assertThat(asked.notRun()).isEqualTo(RejectionReason.FULL);
        assertThat(wire.body(16_000_000).length()).isLessThan(16_000_000);
    }

    @ParameterizedTest
    @CsvSource({"503,1,FULL", "429,1,FULL", "421,1,MISDIRECTED", "421,0,MISDIRECTED", "400,1,REFUSED"})
    void theServerSaysThatItDidNotRun(int status, int marked, RejectionReason reason) throws Exception {
        Asked asked = wharf.post();
        Wire wire = wharf.accept();
        wire.head();
        wire.body(5);
        wire.write(answer(status + " No", asked.id, marked == 1 ? NOT_EXECUTED : "", "no"));
        assertThat(asked.notRun()).isEqualTo(reason);
        // Without the mark the same status is an answer, and the connection is still good.
        Asked plain = wharf.post();
        wire.head();
        wire.body(5);
        wire.write(answer("503 No", plain.id, "", "no"));
        assertThat(plain.answered()).isEqualTo("503 no");
    }
}
