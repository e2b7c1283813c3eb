package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.loadbalancing.LoadBalancer.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoint selection, retries and responses of a request handler, for all outcomes of attempts. */
class ServiceRequestHandlerTest {

    private static final List<RejectionReason> REASONS = List.copyOf(EnumSet.allOf(RejectionReason.class));
    private static final RequestOutcome LOST = new RequestOutcome.MayHaveRun("lost");
    private static final RequestOutcome CANCELLED_IN_FLIGHT = new RequestOutcome.MayHaveRun("cancelled");

    private static RequestOutcome notRun(RejectionReason reason) {
        return new RequestOutcome.NotRun(reason, 0);
    }

    @Test
    void selectionFollowsMeasuredLatency() {
        ProxyFixture fixture = new ProxyFixture(4);
        SplittableRandom random = new SplittableRandom(3);
        fixture.onSend = sent -> fixture.schedule(
                (sent.endpoint.instanceId().equals("i0") ? 80_000 : 8_000) + random.nextInt(2_000),
                () -> sent.respond(200));
        List<ProxyFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            clients.add(fixture.request(i % 2 == 0));
            fixture.advance(1 + random.nextInt(5_000));
        }
        fixture.advance(1_000_000);
        assertThat(clients).allMatch(c -> c.responses.size() == 1 && c.status() == 200);
        List<String> laterHalf = fixture.sent.subList(fixture.sent.size() / 2, fixture.sent.size()).stream()
                .map(sent -> sent.endpoint.instanceId())
                .toList();
        assertThat(laterHalf.stream().filter("i0"::equals).count()).isBetween(1L, laterHalf.size() / 12L);
        for (String fast : List.of("i1", "i2", "i3")) {
            assertThat(laterHalf.stream().filter(fast::equals).count()).isGreaterThan(laterHalf.size() / 6L);
        }
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    @Test
    void nonIdempotentRequestThatMayHaveRunIsNotRetried() {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(false);
        fixture.advance(5_000);
        fixture.sent.get(0).complete(LOST);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(fixture.sent).hasSize(1);
        assertThat(client.responses).hasSize(1);
        assertThat(client.status()).isEqualTo(502);
        assertThat(client.retryAfter()).isNull();
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    @Test
    void nonIdempotentRequestWithoutResponseTimesOut() {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(false);
        fixture.advance(ProxyFixture.TIMEOUT_MICROS - 10_000);
        assertThat(client.responses).isEmpty();
        fixture.advance(20_000);
        assertThat(client.status()).isEqualTo(504);
        assertThat(fixture.sent).hasSize(1);
        fixture.sent.get(0).respond(200);
        fixture.advance(1_000);
        assertThat(client.responses).hasSize(1);
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    @ParameterizedTest
    @EnumSource(
            value = RejectionReason.class,
            names = {"FULL", "GONE", "NO_CONNECTION", "MISDIRECTED"})
    void requestThatHasNotRunIsRetriedElsewhere(RejectionReason reason) {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(false);
        fixture.sent.get(0).complete(notRun(reason));
        fixture.advance(100_000);
        assertThat(fixture.sent).hasSize(2);
        assertThat(fixture.sent.get(1).endpoint).isNotEqualTo(fixture.sent.get(0).endpoint);
        assertThat(fixture.sent.get(1).request.instanceId())
                .isEqualTo(fixture.sent.get(1).endpoint.instanceId());
        assertThat(fixture.sent.get(1).request.id())
                .isEqualTo(fixture.sent.get(0).request.id());
        fixture.sent.get(1).respond(201);
        fixture.advance(0);
        assertThat(client.status()).isEqualTo(201);
    }

    @Test
    void requestsAreTraced() {
        ProxyFixture fixture = new ProxyFixture(3);
        fixture.request(false);
        fixture.advance(2_000);
        assertThat(fixture.trace.findById("id1")).isEmpty();
        fixture.handler().recordInFlight("id1", fixture.trace);
        assertThat(fixture.trace.findById("id1")).singleElement().asString().contains("answer=none yet", "still out");
        fixture.sent.get(0).complete(notRun(RejectionReason.FULL));
        fixture.advance(100_000);
        fixture.sent.get(1).respond(201);
        fixture.advance(0);
        String trace = fixture.trace.findById("id1").get(1).toString();
        assertThat(trace)
                .contains(
                        "route=r",
                        "service=s",
                        "tenant=t",
                        "answer=201",
                        "sentMs=0.0, tookMs=2.0, " + "outcome=not run: full",
                        "outcome=answered",
                        "server=" + fixture.sent.get(1).endpoint.instanceId())
                .doesNotContain("fault");
        assertThat(trace.indexOf(fixture.sent.get(0).endpoint.proxyName()))
                .isLessThan(trace.indexOf("outcome=answered"));
        fixture.request(false);
        fixture.sent.get(2).complete(LOST);
        fixture.advance(0);
        assertThat(fixture.trace.findById("id2"))
                .singleElement()
                .asString()
                .contains("answer=502, fault=broken", "outcome=lost");
        for (int i = 0; i < 4; i++) {
            fixture.request(true);
            fixture.sent.get(3 + i).respond(200);
            fixture.advance(0);
        }
        assertThat(fixture.trace.findById("id1")).isEmpty();
        assertThat(fixture.trace.findById("id6")).hasSize(1);
    }

    @Test
    void idempotentRequestIsRetried() {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(true);
        fixture.sent.get(0).complete(LOST);
        fixture.advance(100_000);
        assertThat(fixture.sent).hasSize(2);
        assertThat(fixture.sent.get(1).endpoint).isNotEqualTo(fixture.sent.get(0).endpoint);
        fixture.sent.get(1).respond(200);
        fixture.advance(0);
        assertThat(client.status()).isEqualTo(200);
    }

    @Test
    void idempotentRequestWithoutResponseIsHedged() {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(true);
        fixture.advance(ProxyFixture.LATENCY_TARGET_MICROS - 10_000);
        assertThat(fixture.sent).hasSize(2);
        fixture.sent.get(1).respond(200);
        fixture.advance(0);
        assertThat(client.status()).isEqualTo(200);
        assertThat(fixture.sent.get(0).cancelled).isTrue();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestWithoutCapacityIsRejectedEarly(boolean idempotent) {
        ProxyFixture fixture = new ProxyFixture(3);
        fixture.onSend = sent -> sent.complete(notRun(RejectionReason.FULL));
        ProxyFixture.Client client = fixture.request(idempotent);
        fixture.advance(ProxyFixture.LATENCY_TARGET_MICROS / 2);
        assertThat(client.status()).isEqualTo(503);
        assertThat(Double.parseDouble(client.retryAfter())).isPositive();
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(client.responses).hasSize(1);
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestThatMayHaveRunIsNotRejected(boolean idempotent) {
        ProxyFixture fixture = new ProxyFixture(3);
        fixture.onSend = sent ->
                sent.complete(fixture.sent.size() == (idempotent ? 1 : 2) ? LOST : notRun(RejectionReason.FULL));
        ProxyFixture.Client client = fixture.request(idempotent);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(fixture.sent).hasSizeGreaterThan(1);
        assertThat(client.responses).hasSize(1);
        assertThat(client.status()).isIn(502, 504);
        assertThat(client.retryAfter()).isNull();
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    @Test
    void requestWithoutEndpointsIsRejectedAtOnce() {
        ProxyFixture fixture = new ProxyFixture(0);
        ProxyFixture.Client client = fixture.request(false);
        assertThat(client.status()).isEqualTo(503);
        assertThat(client.retryAfter()).isNotNull();
        fixture.updateEndpoints(1);
        fixture.onSend = sent -> sent.respond(200);
        assertThat(fixture.request(false).status()).isEqualTo(200);
    }

    @ParameterizedTest
    @ValueSource(ints = {404, 409, 500, 504})
    void applicationErrorsAreForwarded(int status) {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(false);
        fixture.sent.get(0).respond(status);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(fixture.sent).hasSize(1);
        assertThat(client.status()).isEqualTo(status);
    }

    /** Without a marker the request may have run, but the client would take these statuses to say that it hasn't. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void unmarkedRejectionIsNotForwarded(int status) {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(false);
        fixture.sent.get(0).respond(status);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(fixture.sent).hasSize(1);
        assertThat(client.status()).isEqualTo(502);
        ProxyFixture.Client other = fixture.request(true);
        fixture.onSend = sent -> sent.respond(status);
        fixture.sent.get(1).respond(status);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(other.status()).isEqualTo(status);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectedClientGetsNoResponse(boolean idempotent) {
        ProxyFixture fixture = new ProxyFixture(3);
        ProxyFixture.Client client = fixture.request(idempotent);
        fixture.advance(10_000);
        client.disconnect();
        fixture.advance(0);
        assertThat(fixture.sent.get(0).cancelled).isTrue();
        fixture.sent.get(0).complete(idempotent ? notRun(RejectionReason.CANCELLED) : LOST);
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        assertThat(fixture.sent).hasSize(1);
        assertThat(client.responses).isEmpty();
        assertThat(fixture.handler().inFlightCount()).isZero();
    }

    /** Lets an attempt end as it does at a server that has begun to receive it, once it is cancelled. */
    private static void breakOffWhenCancelled(ProxyFixture.SentAttempt sent) {
        sent.whenCancelled = () -> sent.complete(CANCELLED_IN_FLIGHT);
    }

    /** Guards against a healthy endpoint that is ejected because clients have left early. */
    @Test
    void endpointIsNotEjectedBecauseClientsLeave() {
        ProxyFixture fixture = new ProxyFixture(3);
        fixture.onSend = ServiceRequestHandlerTest::breakOffWhenCancelled;
        for (int i = 0; i < 60; i++) {
            ProxyFixture.Client client = fixture.request(true);
            fixture.advance(20_000);
            client.disconnect();
            fixture.advance(1_000);
        }
        fixture.sent.clear();
        fixture.onSend = sent -> fixture.schedule(8_000, () -> sent.respond(200));
        for (int i = 0; i < 60; i++) {
            fixture.request(false);
            fixture.advance(10_000);
        }
        assertThat(fixture.sent.stream().map(sent -> sent.endpoint.instanceId()))
                .contains("i0", "i1", "i2");
    }

    /** Guards against a rollout that takes the impatience of clients for failures of the new version. */
    @Test
    void attemptOfAClientThatLeavesBeforeTheLatencyTargetIsNoFailure() {
        assertThat(resultIfClientLeavesAfter(ProxyFixture.LATENCY_TARGET_MICROS / 4))
                .isEqualTo(Result.CANCELLED);
    }

    /** An instance that answers so late that clients leave does not look healthy. */
    @Test
    void attemptOfAClientThatLeavesAfterTheLatencyTargetHasTimedOut() {
        assertThat(resultIfClientLeavesAfter(ProxyFixture.LATENCY_TARGET_MICROS))
                .isEqualTo(Result.TIMED_OUT);
    }

    private static Result resultIfClientLeavesAfter(long micros) {
        ProxyFixture fixture = new ProxyFixture(1);
        fixture.onSend = ServiceRequestHandlerTest::breakOffWhenCancelled;
        ProxyFixture.Client client = fixture.request(true);
        fixture.advance(micros);
        client.disconnect();
        fixture.advance(1_000);
        assertThat(fixture.observedResults).hasSize(1);
        return fixture.observedResults.get(0);
    }

    private static Runnable randomCompletion(SplittableRandom random, ProxyFixture.SentAttempt sent) {
        return switch (random.nextInt(10)) {
            case 0, 1, 2, 3, 4 -> () -> sent.respond(200);
            case 5 -> () -> sent.respond(500);
            case 6 -> () -> sent.complete(LOST);
            case 7 -> () -> {};
            default -> () -> sent.complete(notRun(REASONS.get(random.nextInt(REASONS.size()))));
        };
    }

    /** Random outcomes of attempts and changing endpoint lists: the response must agree with the attempts' outcomes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void eachRequestHasOneCorrectResponse(long seed) {
        ProxyFixture fixture = new ProxyFixture(3);
        SplittableRandom random = new SplittableRandom(seed);
        fixture.onSend = sent -> {
            Runnable completion = randomCompletion(random, sent);
            if (random.nextInt(3) == 0) {
                completion.run();
            } else {
                fixture.schedule(random.nextInt(300_000), completion);
            }
        };
        List<ProxyFixture.Client> clients = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            clients.add(fixture.request(i % 2 == 0));
            fixture.advance(random.nextInt(10_000));
            if (i % 50 == 0) {
                fixture.updateEndpoints(random.nextInt(5));
            }
        }
        fixture.advance(3 * ProxyFixture.TIMEOUT_MICROS);
        for (int i = 0; i < clients.size(); i++) {
            ProxyFixture.Client client = clients.get(i);
            List<ProxyFixture.SentAttempt> attempts = fixture.attempts("id" + (i + 1));
            assertThat(client.responses).hasSize(1);
            assertThat(attempts).hasSizeLessThanOrEqualTo(i % 2 == 0 ? 4 : 3);
            boolean rejected = client.retryAfter() != null;
            assertThat(rejected).isEqualTo(client.status() == 503);
            if (rejected) {
                assertThat(attempts).allMatch(ProxyFixture.SentAttempt::hasNotRun);
            } else if (client.status() < 502) {
                assertThat(attempts)
                        .anyMatch(sent ->
                                sent.outcome instanceof RequestOutcome.Responded a && a.status() == client.status());
            } else {
                assertThat(client.status()).isIn(502, 504);
                assertThat(attempts).anyMatch(sent -> !sent.hasNotRun());
            }
        }
    }
}
