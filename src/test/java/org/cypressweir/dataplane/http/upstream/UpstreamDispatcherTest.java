package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.SEAL;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.answer;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.head;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.Asked;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamDispatcherTest {
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

    @Test
    void requestsGoUnchangedAndConnectionsAreKept() throws Exception {
        Asked first = wharf.post();
        Wire wire = wharf.accept();
        String head = wire.head();
        assertThat(head)
                .startsWith("POST /x?y=%20 HTTP/1.1\r\nHost: shop\r\n")
                .contains("\r\nCypressweir-Attempt-Id: a-1\r\n")
                .containsPattern("Cypressweir-Time-Remaining: 899\\d\\d\r\n")
                .contains("Content-Length: 5\r\n");
        assertThat(wire.body(5)).isEqualTo("hello");
        assertThat(wharf.on(wharf.quay::load)).isEqualTo(new UpstreamLoad(1, 0, 4));
        wire.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        wire.write(answer(first.id, "fine"));
        assertThat(first.answered()).isEqualTo("200 fine");
        for (String answer : new String[] {
            answer("500 Oops", "a-2", "", "bad"),
            head("200 OK", "a-3", CHUNKED) + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n",
            head("204 No Content", "a-4", SEAL) + "\r\n"
        }) {
            Asked next = wharf.get();
            assertThat(wire.head()).doesNotContain("Content-Length");
            wire.write(answer);
            assertThat(next.answered())
                    .isEqualTo(
                            switch (next.id) {
                                case "a-2" -> "500 bad";
                                case "a-3" -> "200 abcde";
                                default -> "204 ";
                            });
        }
        Asked probe = wharf.ask("HEAD", true, "one", null);
        wire.head();
        wire.write(head("200 OK", probe.id, SEAL) + "Content-Length: 70000\r\n\r\n");
        assertThat(probe.answered()).isEqualTo("200 ");
        // A late second answer to a HEAD has no body either, whatever is asked next.
        Asked after = wharf.get();
        wire.head();
        wire.write(head("200 OK", probe.id, SEAL) + "Content-Length: 70000\r\n\r\n" + answer(after.id, "own"));
        assertThat(after.answered()).isEqualTo("200 own");
        assertThat(wire.ended()).isTrue();
    }

    /** What waits unread in the socket is seen before a kept connection is used again. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aSpoiltConnectionIsNotUsed(boolean ends) throws Exception {
        Asked first = wharf.get();
        Wire wire = wharf.accept();
        wire.head();
        wire.write(answer(first.id, ""));
        assertThat(first.answered()).isEqualTo("200 ");
        Asked second = wharf.on(() -> {
            if (ends) {
                wire.socket.close();
            } else {
                wire.write(answer("a-2", "forged"));
            }
            return wharf.post();
        });
        Wire next = wharf.accept();
        next.head();
        next.body(5);
        for (char c : answer(second.id, "bit by bit").toCharArray()) {
            next.write(String.valueOf(c));
        }
        assertThat(second.answered()).isEqualTo("200 bit by bit");
        assertThat(ends || wire.ended()).isTrue();
    }

    @Test
    void oldConnectionsAreNotUsed() throws Exception {
        Wire wire = null;
        String seal = "Cypressweir-Server-Seal: s\r\n";
        for (String told : new String[] {"Keep-Alive: timeout=5, max=9\r\n", "Keep-Alive: max=3, timeout=20\r\n", ""}) {
            Asked asked = wharf.get();
            wire = wire == null ? wharf.accept() : wire;
            wire.head();
            wire.write(answer("200 OK", asked.id, seal + told, ""));
            asked.answered();
            long most = told.isEmpty() ? 4_800_000 : told.contains("20") ? 12_000_000 : 3_000_000;
            wharf.later(most - 1_000_000);
            Asked again = wharf.get();
            wire.head();
            wire.write(answer("200 OK", again.id, seal + told, ""));
            again.answered();
            if (told.isEmpty()) {
                wharf.ahead.addAndGet(most);
            } else {
                wharf.later(most);
                assertThat(wire.ended()).isTrue();
            }
            wire = null;
        }
        Asked last = wharf.get();
        wire = wharf.accept();
        wire.head();
        wire.write(answer("200 OK", last.id, SEAL + "Connection: close\r\n", ""));
        assertThat(last.answered()).isEqualTo("200 ");
        assertThat(wire.ended()).isTrue();
    }

    /** A server may forget an idle connection: what can't be repeated does not find that out. */
    @Test
    void whatCanNotBeRepeatedGoesOnNoConnectionThatWasIdleForLong() throws Exception {
        wharf.stopClock();
        Wire first = exchange(null, wharf.post());
        wharf.later(900_000);
        exchange(first, wharf.post());
        wharf.later(1_100_000);
        Wire second = exchange(null, wharf.post());
        // The older one is used again by what can be repeated, and the idleness that it bore is believed.
        wharf.later(2_000_000);
        exchange(second, wharf.get());
        wharf.later(1_200_000);
        Asked lost = wharf.post();
        second.head();
        second.reset();
        assertThat(lost.mayHaveRun()).isNotEmpty();
        // It was lost after 1.2 s of idleness: half of that is the bound, and twice that a minute later.
        Wire third = exchange(null, wharf.post());
        wharf.later(590_000);
        exchange(third, wharf.post());
        wharf.later(610_000);
        Wire fourth = exchange(null, wharf.post());
        exchange(fourth, wharf.get());
        wharf.later(60_000_000);
        Wire fifth = exchange(null, wharf.post());
        wharf.later(990_000);
        exchange(fifth, wharf.post());
    }

    @Test
    void anIdleConnectionMakesRoomForAFreshOne() throws Exception {
        wharf.stopClock();
        wharf.run(() -> wharf.quay.maxConnections(5));
        Wire old = exchange(null, wharf.post());
        wharf.later(2_000_000);
        Asked asked = wharf.post();
        assertThat(old.ended()).isTrue();
        exchange(null, asked);
        assertThat(wharf.on(wharf.quay::connections)).isEqualTo(1);
    }

    /** Answers what was asked, on this connection or on a new one. */
    private Wire exchange(Wire kept, Asked asked) throws Exception {
        Wire wire = kept == null ? wharf.accept() : kept;
        wire.body(wire.head().contains("POST") ? 5 : 0);
        wire.write(answer(asked.id, "ok"));
        assertThat(asked.answered()).isEqualTo("200 ok");
        // The read that brought it is over.
        wharf.run(() -> {});
        return wire;
    }

    @Test
    void cancellingDependsOnWhereARequestIs() throws Exception {
        wharf.life("one", 1);
        Asked once = wharf.post();
        Wire first = wharf.accept();
        first.head();
        first.body(5);
        Asked often = wharf.get();
        Wire second = wharf.accept();
        second.head();
        Asked waits = wharf.get();
        assertThat(wharf.on(wharf.quay::load)).isEqualTo(new UpstreamLoad(2, 1, 1));
        waits.cancel();
        assertThat(waits.notRun()).isEqualTo(RejectionReason.CANCELLED);
        often.cancel();
        assertThat(often.mayHaveRun()).isEqualTo("cancelled");
        assertThat(second.ended()).isTrue();
        once.cancel();
        assertThat(once.ends).isEmpty();
        first.write(answer(once.id, "ran"));
        assertThat(once.answered()).isEqualTo("200 ran");
        once.cancel();
        assertThat(once.ends).isEmpty();
        assertThat(wharf.on(wharf.quay::idle)).isTrue();
    }

    @Test
    void atTheDeadlineTheOutcomeIsTold() throws Exception {
        Asked often = wharf.get();
        Wire first = wharf.accept();
        first.head();
        Asked once = wharf.post();
        Wire second = wharf.accept();
        second.head();
        second.body(5);
        wharf.later(90_000_000);
        assertThat(often.mayHaveRun()).isEqualTo("deadline");
        assertThat(once.mayHaveRun()).isEqualTo("deadline");
        assertThat(first.ended()).isTrue();
        assertThat(wharf.on(wharf.quay::idle)).isFalse();
        wharf.later(500_000);
        assertThat(second.ended()).isTrue();
        assertThat(wharf.on(wharf.quay::idle)).isTrue();
        assertThat(once.ends).isEmpty();
    }

    @Test
    void whatWaitsIsGivenBackInTime() throws Exception {
        wharf.life("one", 1);
        wharf.get();
        wharf.get();
        Asked waits = wharf.post();
        wharf.later(59_000_000);
        assertThat(waits.ends).isEmpty();
        wharf.later(1_000_000);
        assertThat(waits.notRun()).isEqualTo(RejectionReason.FULL);
    }

    @Test
    void anotherLifeAndLeavingHandBackWhatIsNotSent() throws Exception {
        wharf.life("one", 1);
        Asked runs = wharf.post();
        Wire wire = wharf.accept();
        wire.head();
        wire.body(5);
        wharf.post();
        wharf.accept().head();
        Asked old = wharf.post();
        wharf.life("two", 1);
        assertThat(old.notRun()).isEqualTo(RejectionReason.GONE);
        assertThat(wharf.post().notRun()).isEqualTo(RejectionReason.GONE);
        wire.write(answer(runs.id, "still"));
        assertThat(runs.answered()).isEqualTo("200 still");
        assertThat(wire.ended()).isTrue();
        Asked anew = wharf.ask("GET", true, "two", null);
        wire = wharf.accept();
        wire.head();
        Asked waits = wharf.ask("GET", true, "two", null);
        wharf.run(wharf.quay::leave);
        assertThat(waits.notRun()).isEqualTo(RejectionReason.GONE);
        assertThat(wharf.get().notRun()).isEqualTo(RejectionReason.GONE);
        wire.write(answer(anew.id, "end"));
        assertThat(anew.answered()).isEqualTo("200 end");
        wharf.life(null, 0);
        assertThat(wharf.get().notRun()).isEqualTo(RejectionReason.GONE);
    }

    @Test
    void theConnectionUsedLastIsUsedFirst() throws Exception {
        Asked first = wharf.get();
        Wire one = wharf.accept();
        one.head();
        Asked second = wharf.get();
        Wire two = wharf.accept();
        two.head();
        one.write(answer(first.id, ""));
        first.answered();
        two.write(answer(second.id, ""));
        second.answered();
        BlockingQueue<RequestOutcome> ends = new LinkedBlockingQueue<>();
        UpstreamRequest third = freight(List.of());
        // The end of one request brings the next, while the read that brought that end goes on.
        wharf.run(() -> wharf.quay.take(third, o -> wharf.quay.take(third, ends::add)));
        for (int i = 0; i < 2; i++) {
            two.head();
            two.write(answer("x", ""));
        }
        assertThat(ends.poll(20, TimeUnit.SECONDS)).isInstanceOf(RequestOutcome.Answered.class);
        assertThat(wharf.on(wharf.quay::connections)).isEqualTo(2);
    }

    @Test
    void noMoreConnectionsThanAllowed() throws Exception {
        wharf.run(() -> wharf.quay.maxConnections(6));
        List<Asked> asked = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            asked.add(wharf.get());
        }
        List<Wire> wires = List.of(wharf.accept(), wharf.accept());
        for (Wire wire : wires) {
            wire.head();
        }
        assertThat(wharf.on(wharf.quay::connections)).isEqualTo(2);
        assertThat(wharf.on(wharf.quay::load)).isEqualTo(new UpstreamLoad(2, 3, 4));
        for (int i = 0; i < 3; i++) {
            wires.get(0).write(answer(asked.get(i == 0 ? 0 : i + 1).id, ""));
            wires.get(0).head();
        }
        wires.get(0).write(answer(asked.get(4).id, ""));
        wires.get(1).write(answer(asked.get(1).id, ""));
        for (Asked a : asked) {
            assertThat(a.answered()).isEqualTo("200 ");
        }
    }

    @Test
    void whatIsNeverConnectedIsNotRun() throws Exception {
        wharf.server.close();
        assertThat(wharf.post().notRun()).isEqualTo(RejectionReason.NO_CONNECTION);
        assertThat(wharf.post().notRun()).isEqualTo(RejectionReason.NO_CONNECTION);
        BlockingQueue<List<RequestOutcome>> fast = new LinkedBlockingQueue<>();
        UpstreamRequest good = freight(List.of());
        wharf.run(() -> wharf.quay.take(good, third -> {
            // Told from inside the call, so no connection was tried.
            List<RequestOutcome> ends = new ArrayList<>(List.of(third));
            wharf.quay.take(good, ends::add);
            wharf.ahead.addAndGet(200_000);
            wharf.quay.take(good, ends::add);
            fast.add(List.copyOf(ends));
        }));
        assertThat(fast.poll(20, TimeUnit.SECONDS)).hasSize(2).allSatisfy(end -> assertThat(end)
                .isInstanceOfSatisfying(RequestOutcome.NotRun.class, o -> assertThat(o.reason())
                        .isEqualTo(RejectionReason.NO_CONNECTION)));
        List<RequestOutcome> ends = new ArrayList<>();
        wharf.run(() -> wharf.quay.take(freight(List.of(Map.entry("X", "a\r\nY: b"))), ends::add));
        assertThat(ends).containsExactly(new RequestOutcome.NotRun(RejectionReason.REFUSED, 0));
    }

    private UpstreamRequest freight(List<Map.Entry<String, String>> headers) {
        long until = wharf.micros() + 90_000_000;
        return new UpstreamRequest("x", "GET", "/", headers, null, true, 0, false, until, until, null);
    }
}
