package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import org.cypressweir.dataplane.quota.UnconnectedRequester;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The requests of a route are divided among its services by their weights. */
class WeightedSplitTest {

    private static final int REQUESTS = 4_000;
    /** Three standard deviations of a share of one half, which has the greatest deviation. */
    private static final double TOLERANCE = 0.025;
    /** How many requests the users judge a split by, and how far a share may be from its weight's. */
    private static final int JUDGED_REQUESTS = 400;

    private static final double JUDGED_TOLERANCE = 0.2;

    private final OutboundListenerFixture fixture = new OutboundListenerFixture(new UnconnectedRequester());
    private final Map<String, Integer> attemptsByService = new HashMap<>();
    private final Map<String, String> serviceById = new HashMap<>();

    WeightedSplitTest() {
        fixture.onSend = attempt -> {
            String service = attempt.endpoint.instanceId();
            attemptsByService.merge(service, 1, Integer::sum);
            String before = serviceById.put(attempt.request.id(), service);
            assertThat(before).as("another attempt with the same id").isIn(null, service);
            attempt.respond(200);
        };
    }

    private double shareOfB(String split, String... servicesWithEndpoints) {
        return shareOfB(split, REQUESTS, i -> Integer.toHexString(i * 0x9e3779b1) + "f" + i, servicesWithEndpoints);
    }

    private double shareOfB(String split, int requests, IntFunction<String> id, String... servicesWithEndpoints) {
        fixture.change(OutboundListenerFixture.services("'weightedSplit':[" + split + "]", "a", "b"));
        // Endpoints are set only in handlers that exist already.
        fixture.handlers.handler("a", true);
        fixture.handlers.handler("b", true);
        fixture.setEndpoints(servicesWithEndpoints);
        for (int i = 0; i < requests; i++) {
            fixture.request("/p/x", id.apply(i), null);
            fixture.advance(10_000);
        }
        return attemptsByService.getOrDefault("b", 0) / (double) requests;
    }

    private static String split(int weightOfA, int weightOfB) {
        return "{'service':'a','weight':" + weightOfA + "},{'service':'b','weight':" + weightOfB + "}";
    }

    @Test
    void eachServiceGetsItsShare() {
        assertThat(shareOfB(split(90, 10), "a", "b")).isBetween(0.1 - TOLERANCE, 0.1 + TOLERANCE);
    }

    @Test
    void halvesAreHalves() {
        assertThat(shareOfB(split(3, 3), "a", "b")).isBetween(0.5 - TOLERANCE, 0.5 + TOLERANCE);
    }

    /** Guards against a split without effect for clients that number their requests. */
    @ParameterizedTest
    @ValueSource(strings = {"%016x", "%d", "5a1e77c0%08x", "client-%d"})
    void halvesAreHalvesForNumberedIds(String form) {
        double share = shareOfB(split(50, 50), JUDGED_REQUESTS, i -> String.format(form, i + 1), "a", "b");
        assertThat(share).isBetween(0.5 - JUDGED_TOLERANCE, 0.5 + JUDGED_TOLERANCE);
    }

    @Test
    void aServiceWithoutWeightGetsNothing() {
        assertThat(shareOfB(split(5, 0), "a", "b")).isZero();
    }

    /** Its share goes to those that have endpoints. */
    @Test
    void aServiceWithoutEndpointsGetsNothing() {
        assertThat(shareOfB(split(50, 50), "b")).isEqualTo(1);
    }
}
