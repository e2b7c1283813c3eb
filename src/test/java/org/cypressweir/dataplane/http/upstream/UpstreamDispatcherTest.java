package org.cypressweir.dataplane.http.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.SEAL;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.head;
import static org.cypressweir.dataplane.http.upstream.UpstreamFixture.response;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.ServerConnection;
import org.cypressweir.dataplane.http.upstream.UpstreamFixture.SubmittedRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class UpstreamDispatcherTest {
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

    @Test
    void sendsRequestsUnchangedAndReusesConnections() throws Exception {
        SubmittedRequest first = fixture.post();
        ServerConnection connection = fixture.accept();
        String head = connection.readHead();
        assertThat(head)
                .startsWith("POST /x?y=%20 HTTP/1.1\r\nHost: shop\r\n")
                .contains("\r\nCypressweir-Attempt-Id: a-1\r\n")
                .containsPattern("Cypressweir-Time-Remaining: 899\\d\\d\r\n")
                .contains("Content-Length: 5\r\n");
        assertThat(connection.readBody(5)).isEqualTo("hello");
        assertThat(fixture.callOnLoop(fixture.dispatcher::load)).isEqualTo(new UpstreamLoad(1, 0, 4));
        connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        connection.write(response(first.id, "fine"));
        assertThat(first.response()).isEqualTo("200 fine");
        for (String answer : new String[] {
            response("500 Oops", "a-2", "", "bad"),
            head("200 OK", "a-3", CHUNKED) + "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: t\r\n\r\n",
            head("204 No Content", "a-4", SEAL) + "\r\n"
        }) {
            SubmittedRequest next = fixture.get();
            assertThat(connection.readHead()).doesNotContain("Content-Length");
            connection.write(answer);
            assertThat(next.response())
                    .isEqualTo(
                            switch (next.id) {
                                case "a-2" -> "500 bad";
                                case "a-3" -> "200 abcde";
                                default -> "204 ";
                            });
        }
        SubmittedRequest headRequest = fixture.submit("HEAD", true, "one", null);
        connection.readHead();
        connection.write(head("200 OK", headRequest.id, SEAL) + "Content-Length: 70000\r\n\r\n");
        assertThat(headRequest.response()).isEqualTo("200 ");
        // A late duplicate response to a HEAD request has no body either, although a GET was sent after it.
        SubmittedRequest after = fixture.get();
        connection.readHead();
        connection.write(
                head("200 OK", headRequest.id, SEAL) + "Content-Length: 70000\r\n\r\n" + response(after.id, "own"));
        assertThat(after.response()).isEqualTo("200 own");
        assertThat(connection.isClosedByClient()).isTrue();
    }

    /** A connection is not reused if its socket holds unread bytes or an unread end of stream. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void doesNotReuseAnUncleanConnection(boolean endOfStream) throws Exception {
        SubmittedRequest first = fixture.get();
        ServerConnection connection = fixture.accept();
        connection.readHead();
        connection.write(response(first.id, ""));
        assertThat(first.response()).isEqualTo("200 ");
        SubmittedRequest second = fixture.callOnLoop(() -> {
            if (endOfStream) {
                connection.socket.close();
            } else {
                connection.write(response("a-2", "forged"));
            }
            return fixture.post();
        });
        ServerConnection next = fixture.accept();
        next.readHead();
        next.readBody(5);
        for (char c : response(second.id, "bit by bit").toCharArray()) {
            next.write(String.valueOf(c));
        }
        assertThat(second.response()).isEqualTo("200 bit by bit");
        assertThat(endOfStream || connection.isClosedByClient()).isTrue();
    }

    @Test
    void doesNotReuseConnectionsBeyondTheIdleTimeout() throws Exception {
        ServerConnection connection = null;
        String seal = "Cypressweir-Server-Seal: s\r\n";
        for (String keepAlive :
                new String[] {"Keep-Alive: timeout=5, max=9\r\n", "Keep-Alive: max=3, timeout=20\r\n", ""}) {
            SubmittedRequest request = fixture.get();
            connection = connection == null ? fixture.accept() : connection;
            connection.readHead();
            connection.write(response("200 OK", request.id, seal + keepAlive, ""));
            request.response();
            long maxIdle = keepAlive.isEmpty() ? 4_800_000 : keepAlive.contains("20") ? 12_000_000 : 3_000_000;
            fixture.advance(maxIdle - 1_000_000);
            SubmittedRequest again = fixture.get();
            connection.readHead();
            connection.write(response("200 OK", again.id, seal + keepAlive, ""));
            again.response();
            if (keepAlive.isEmpty()) {
                fixture.clockOffset.addAndGet(maxIdle);
            } else {
                fixture.advance(maxIdle);
                assertThat(connection.isClosedByClient()).isTrue();
            }
            connection = null;
        }
        SubmittedRequest last = fixture.get();
        connection = fixture.accept();
        connection.readHead();
        connection.write(response("200 OK", last.id, SEAL + "Connection: close\r\n", ""));
        assertThat(last.response()).isEqualTo("200 ");
        assertThat(connection.isClosedByClient()).isTrue();
    }

    /**
     * A server may drop an idle connection without closing it, and a request sent on it is then lost. Only idempotent
     * requests are sent on connections that have been idle for long.
     */
    @Test
    void nonIdempotentRequestsAvoidLongIdleConnections() throws Exception {
        fixture.stopClock();
        ServerConnection first = exchange(null, fixture.post());
        fixture.advance(900_000);
        exchange(first, fixture.post());
        fixture.advance(1_100_000);
        ServerConnection second = exchange(null, fixture.post());
        // An idempotent request reuses the connection; its response raises the permitted idle time.
        fixture.advance(2_000_000);
        exchange(second, fixture.get());
        fixture.advance(1_200_000);
        SubmittedRequest lost = fixture.post();
        second.readHead();
        second.reset();
        assertThat(lost.mayHaveRunReason()).isNotEmpty();
        // The connection was lost after 1.2 s of idle time: the bound is half of that, and doubles after a minute.
        ServerConnection third = exchange(null, fixture.post());
        fixture.advance(590_000);
        exchange(third, fixture.post());
        fixture.advance(610_000);
        ServerConnection fourth = exchange(null, fixture.post());
        exchange(fourth, fixture.get());
        fixture.advance(60_000_000);
        ServerConnection fifth = exchange(null, fixture.post());
        fixture.advance(990_000);
        exchange(fifth, fixture.post());
    }

    @Test
    void closesAnIdleConnectionToMakeRoomForANewOne() throws Exception {
        fixture.stopClock();
        fixture.runOnLoop(() -> fixture.dispatcher.maxConnections(5));
        ServerConnection old = exchange(null, fixture.post());
        fixture.advance(2_000_000);
        SubmittedRequest request = fixture.post();
        assertThat(old.isClosedByClient()).isTrue();
        exchange(null, request);
        assertThat(fixture.callOnLoop(fixture.dispatcher::connectionCount)).isEqualTo(1);
    }

    /** Responds to a request, on this connection or on a new one. */
    private ServerConnection exchange(ServerConnection existing, SubmittedRequest request) throws Exception {
        ServerConnection connection = existing == null ? fixture.accept() : existing;
        connection.readBody(connection.readHead().contains("POST") ? 5 : 0);
        connection.write(response(request.id, "ok"));
        assertThat(request.response()).isEqualTo("200 ok");
        // Wait until the socket read that contained the response is finished.
        fixture.runOnLoop(() -> {});
        return connection;
    }

    @Test
    void cancellationDependsOnTheProgressOfTheRequest() throws Exception {
        fixture.setInstance("one", 1);
        SubmittedRequest nonIdempotent = fixture.post();
        ServerConnection first = fixture.accept();
        first.readHead();
        first.readBody(5);
        SubmittedRequest idempotent = fixture.get();
        ServerConnection second = fixture.accept();
        second.readHead();
        SubmittedRequest queued = fixture.get();
        assertThat(fixture.callOnLoop(fixture.dispatcher::load)).isEqualTo(new UpstreamLoad(2, 1, 1));
        queued.cancel();
        assertThat(queued.rejection()).isEqualTo(RejectionReason.CANCELLED);
        idempotent.cancel();
        assertThat(idempotent.mayHaveRunReason()).isEqualTo("cancelled");
        assertThat(second.isClosedByClient()).isTrue();
        nonIdempotent.cancel();
        assertThat(nonIdempotent.outcomes).isEmpty();
        first.write(response(nonIdempotent.id, "ran"));
        assertThat(nonIdempotent.response()).isEqualTo("200 ran");
        nonIdempotent.cancel();
        assertThat(nonIdempotent.outcomes).isEmpty();
        assertThat(fixture.callOnLoop(fixture.dispatcher::isIdle)).isTrue();
    }

    @Test
    void reportsAnOutcomeAtTheDeadline() throws Exception {
        SubmittedRequest idempotent = fixture.get();
        ServerConnection first = fixture.accept();
        first.readHead();
        SubmittedRequest nonIdempotent = fixture.post();
        ServerConnection second = fixture.accept();
        second.readHead();
        second.readBody(5);
        fixture.advance(90_000_000);
        assertThat(idempotent.mayHaveRunReason()).isEqualTo("deadline");
        assertThat(nonIdempotent.mayHaveRunReason()).isEqualTo("deadline");
        assertThat(first.isClosedByClient()).isTrue();
        assertThat(fixture.callOnLoop(fixture.dispatcher::isIdle)).isFalse();
        fixture.advance(500_000);
        assertThat(second.isClosedByClient()).isTrue();
        assertThat(fixture.callOnLoop(fixture.dispatcher::isIdle)).isTrue();
        assertThat(nonIdempotent.outcomes).isEmpty();
    }

    @Test
    void rejectsAQueuedRequestThatMissesItsTarget() throws Exception {
        fixture.setInstance("one", 1);
        fixture.get();
        fixture.get();
        SubmittedRequest queued = fixture.post();
        fixture.advance(59_000_000);
        assertThat(queued.outcomes).isEmpty();
        fixture.advance(1_000_000);
        assertThat(queued.rejection()).isEqualTo(RejectionReason.FULL);
    }

    @Test
    void newInstanceAndDrainRejectUnsentRequests() throws Exception {
        fixture.setInstance("one", 1);
        SubmittedRequest running = fixture.post();
        ServerConnection connection = fixture.accept();
        connection.readHead();
        connection.readBody(5);
        fixture.post();
        fixture.accept().readHead();
        SubmittedRequest toOldInstance = fixture.post();
        fixture.setInstance("two", 1);
        assertThat(toOldInstance.rejection()).isEqualTo(RejectionReason.GONE);
        assertThat(fixture.post().rejection()).isEqualTo(RejectionReason.GONE);
        connection.write(response(running.id, "still"));
        assertThat(running.response()).isEqualTo("200 still");
        assertThat(connection.isClosedByClient()).isTrue();
        SubmittedRequest toNewInstance = fixture.submit("GET", true, "two", null);
        connection = fixture.accept();
        connection.readHead();
        SubmittedRequest queued = fixture.submit("GET", true, "two", null);
        fixture.runOnLoop(fixture.dispatcher::drain);
        assertThat(queued.rejection()).isEqualTo(RejectionReason.GONE);
        assertThat(fixture.get().rejection()).isEqualTo(RejectionReason.GONE);
        connection.write(response(toNewInstance.id, "end"));
        assertThat(toNewInstance.response()).isEqualTo("200 end");
        fixture.setInstance(null, 0);
        assertThat(fixture.get().rejection()).isEqualTo(RejectionReason.GONE);
    }

    @Test
    void reusesTheMostRecentlyUsedConnectionFirst() throws Exception {
        SubmittedRequest first = fixture.get();
        ServerConnection one = fixture.accept();
        one.readHead();
        SubmittedRequest second = fixture.get();
        ServerConnection two = fixture.accept();
        two.readHead();
        one.write(response(first.id, ""));
        first.response();
        two.write(response(second.id, ""));
        second.response();
        BlockingQueue<RequestOutcome> outcomes = new LinkedBlockingQueue<>();
        UpstreamRequest third = request(List.of());
        // The callback of one request submits the next while the socket read with the response is not finished.
        fixture.runOnLoop(() -> fixture.dispatcher.submit(third, o -> fixture.dispatcher.submit(third, outcomes::add)));
        for (int i = 0; i < 2; i++) {
            two.readHead();
            two.write(response("x", ""));
        }
        assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isInstanceOf(RequestOutcome.Responded.class);
        assertThat(fixture.callOnLoop(fixture.dispatcher::connectionCount)).isEqualTo(2);
    }

    @Test
    void opensNoMoreConnectionsThanAllowed() throws Exception {
        fixture.runOnLoop(() -> fixture.dispatcher.maxConnections(6));
        List<SubmittedRequest> requests = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            requests.add(fixture.get());
        }
        List<ServerConnection> connections = List.of(fixture.accept(), fixture.accept());
        for (ServerConnection connection : connections) {
            connection.readHead();
        }
        assertThat(fixture.callOnLoop(fixture.dispatcher::connectionCount)).isEqualTo(2);
        assertThat(fixture.callOnLoop(fixture.dispatcher::load)).isEqualTo(new UpstreamLoad(2, 3, 4));
        for (int i = 0; i < 3; i++) {
            connections.get(0).write(response(requests.get(i == 0 ? 0 : i + 1).id, ""));
            connections.get(0).readHead();
        }
        connections.get(0).write(response(requests.get(4).id, ""));
        connections.get(1).write(response(requests.get(1).id, ""));
        for (SubmittedRequest request : requests) {
            assertThat(request.response()).isEqualTo("200 ");
        }
    }

    @Test
    void requestWithoutAConnectionHasNotRun() throws Exception {
        fixture.server.close();
        assertThat(fixture.post().rejection()).isEqualTo(RejectionReason.NO_CONNECTION);
        assertThat(fixture.post().rejection()).isEqualTo(RejectionReason.NO_CONNECTION);
        BlockingQueue<List<RequestOutcome>> immediate = new LinkedBlockingQueue<>();
        UpstreamRequest valid = request(List.of());
        fixture.runOnLoop(() -> fixture.dispatcher.submit(valid, third -> {
            // Both outcomes are reported by the call itself only if no connection is tried.
            List<RequestOutcome> outcomes = new ArrayList<>(List.of(third));
            fixture.dispatcher.submit(valid, outcomes::add);
            fixture.clockOffset.addAndGet(200_000);
            fixture.dispatcher.submit(valid, outcomes::add);
            immediate.add(List.copyOf(outcomes));
        }));
        assertThat(immediate.poll(20, TimeUnit.SECONDS)).hasSize(2).allSatisfy(end -> assertThat(end)
                .isInstanceOfSatisfying(RequestOutcome.NotRun.class, o -> assertThat(o.reason())
                        .isEqualTo(RejectionReason.NO_CONNECTION)));
        List<RequestOutcome> outcomes = new ArrayList<>();
        fixture.runOnLoop(
                () -> fixture.dispatcher.submit(request(List.of(Map.entry("X", "a\r\nY: b"))), outcomes::add));
        assertThat(outcomes).containsExactly(new RequestOutcome.NotRun(RejectionReason.REFUSED, 0));
    }

    private UpstreamRequest request(List<Map.Entry<String, String>> headers) {
        long until = fixture.clockMicros() + 90_000_000;
        return new UpstreamRequest("x", "GET", "/", headers, null, true, 0, false, until, until, null);
    }
}
