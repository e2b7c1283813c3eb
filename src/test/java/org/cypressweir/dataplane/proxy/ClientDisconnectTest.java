package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.cypressweir.dataplane.http.upstream.RejectionReason;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.quota.TokenRequester;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A client that leaves, in each state in which its request may wait: nothing of the request is left behind. */
class ClientDisconnectTest {

    private static final String CONTROLLER = "core-1";
    private static final String LIMITED_TENANT = "t";
    private static final String TENANT = "u";
    private static final int SERVER_CAPACITY = 3;
    /** Just after four fifths of the latency target of 1 s. */
    private static final long HEDGE_DELAY_MICROS = 800_001;

    private static final long LONGEST_BACKOFF_MICROS = 20_000_000;
    /** More than the concurrency limit of an endpoint grows to within one test. */
    private static final int LEAVING_CLIENTS = 40;

    private static final int LATER_CLIENTS = 20;

    /** Where a request is when its client leaves; brings a new request into that state. */
    private enum Wait {
        FOR_TOKENS(test -> {
            test.useUpTokens();
            return test.request("/i/x", LIMITED_TENANT);
        }),
        FOR_CAPACITY(test -> {
            test.occupyServer();
            return test.request("/i/x");
        }),
        FOR_THE_RESPONSE(test -> test.request("/n/x")),
        FOR_A_HEDGE(test -> {
            OutboundListenerFixture.Client client = test.request("/i/x");
            test.fixture.advance(HEDGE_DELAY_MICROS);
            return client;
        }),
        FOR_A_RETRY(test -> {
            OutboundListenerFixture.Client client = test.request("/i/x");
            test.last().complete(new RequestOutcome.NotRun(RejectionReason.NO_CONNECTION, 0));
            return client;
        });

        private final Function<ClientDisconnectTest, OutboundListenerFixture.Client> start;

        Wait(Function<ClientDisconnectTest, OutboundListenerFixture.Client> start) {
            this.start = start;
        }
    }

    /** A controller that responds when the test lets it. */
    private static final class SilentController implements TokenRequester {
        @Override
        public List<String> controllers() {
            return List.of(CONTROLLER);
        }

        @Override
        public void requestTokens(String controller, String tenant, int count) {}

        @Override
        public void giveTokens(String controller, Map<String, Integer> tokensByTenant) {}
    }

    private final OutboundListenerFixture fixture = new OutboundListenerFixture(new SilentController());
    private final List<OutboundListenerFixture.Client> occupying = new ArrayList<>();
    private final Consumer<ProxyFixture.SentAttempt> servedAtOnce = fixture.onSend;
    private int requestCount;

    ClientDisconnectTest() {
        fixture.change(OutboundListenerFixture.services("'service':'a'", "a"));
        fixture.change("{'upsert':{'tenantTable':{" + tenant(LIMITED_TENANT, 0.01) + "," + tenant(TENANT, 0) + "}}}");
        fixture.setEndpoints("a");
        fixture.onSend = attempt -> {};
    }

    private static String tenant(String name, double ratePerSecond) {
        return "'" + name + "':{'apiKeys':['key-" + name + "'],'priority':1,'ratePerS':" + ratePerSecond
                + ",'burstSize':1,'configVersion':'r1'}";
    }

    private OutboundListenerFixture.Client request(String path) {
        return request(path, TENANT);
    }

    private OutboundListenerFixture.Client request(String path, String tenant) {
        return fixture.request(path, "id" + requestCount++, "key-" + tenant);
    }

    private ProxyFixture.SentAttempt last() {
        return fixture.sent.get(fixture.sent.size() - 1);
    }

    /** Spends tokens until a request has to wait; all clients leave, and the controller gives nothing. */
    private void useUpTokens() {
        while (true) {
            int before = fixture.handlers.inFlightCount("a");
            OutboundListenerFixture.Client client = request("/i/x", LIMITED_TENANT);
            assertThat(requestCount).isLessThan(100_000);
            if (fixture.handlers.inFlightCount("a") == before && client.responses.isEmpty()) {
                client.disconnect();
                return;
            }
            client.disconnect();
            endAttempts();
        }
    }

    private void occupyServer() {
        while (occupying.size() < SERVER_CAPACITY) {
            occupying.add(request("/n/x", TENANT));
        }
    }

    private void releaseServer() {
        occupying.forEach(OutboundListenerFixture.Client::disconnect);
        occupying.clear();
    }

    /** The transport delivers the outcome of each attempt, cancelled or not. */
    private void endAttempts() {
        for (ProxyFixture.SentAttempt attempt : List.copyOf(fixture.sent)) {
            if (attempt.outcome == null) {
                attempt.complete(
                        attempt.cancelled
                                ? cancelledOutcome(attempt)
                                : new RequestOutcome.Responded(200, List.of(), new byte[0]));
            }
        }
    }

    /** An idempotent request is broken off at the server; another one ends there, or has not been sent yet. */
    private static RequestOutcome cancelledOutcome(ProxyFixture.SentAttempt attempt) {
        return attempt.request.idempotent()
                ? new RequestOutcome.MayHaveRun("cancelled")
                : new RequestOutcome.NotRun(RejectionReason.CANCELLED, 0);
    }

    /** Guards against a service that a proxy closes to all clients, since some have left while they waited. */
    @ParameterizedTest
    @EnumSource
    void clientThatLeavesTakesNoCapacityFromOthers(Wait wait) {
        for (int i = 0; i < LEAVING_CLIENTS; i++) {
            OutboundListenerFixture.Client client = wait.start.apply(this);
            assertThat(client.responses).as("response before the client leaves").isEmpty();
            client.disconnect();
            fixture.quotas.tokensReceived(fixture.now, CONTROLLER, LIMITED_TENANT, 1);
            releaseServer();
            endAttempts();
            fixture.advance(200_000);
            assertThat(client.responses)
                    .as("response after the client has left")
                    .isEmpty();
            assertThat(fixture.handlers.inFlightCount("a")).isZero();
        }
        fixture.advance(LONGEST_BACKOFF_MICROS);
        fixture.onSend = servedAtOnce;
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < LATER_CLIENTS; i++) {
            OutboundListenerFixture.Client client = request("/n/x");
            fixture.advance(1_000_000);
            statuses.add(client.status());
        }
        // An endpoint that has refused connections gets few requests at first, like a cold one.
        assertThat(statuses.subList(LATER_CLIENTS / 2, LATER_CLIENTS)).containsOnly(200);
    }

    /** Guards against a token that is spent on a request whose client has left. */
    @Test
    void clientThatLeavesWhileItWaitsTakesNoToken() {
        useUpTokens();
        OutboundListenerFixture.Client left = request("/i/x", LIMITED_TENANT);
        OutboundListenerFixture.Client staying = request("/i/x", LIMITED_TENANT);
        left.disconnect();
        int before = fixture.sent.size();

        fixture.quotas.tokensReceived(fixture.now, CONTROLLER, LIMITED_TENANT, 1);

        assertThat(fixture.sent).hasSize(before + 1);
        last().respond(200);
        assertThat(staying.status()).isEqualTo(200);
    }
}
