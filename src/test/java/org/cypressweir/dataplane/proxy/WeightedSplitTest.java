package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cypressweir.common.diagnostics.RequestTrace;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.ConfigurationChange;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.dataplane.http.upstream.RequestOutcome;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.http.upstream.UpstreamRequest;
import org.cypressweir.dataplane.quota.QuotaGate;
import org.cypressweir.dataplane.quota.UnconnectedRequester;
import org.junit.jupiter.api.Test;

/** The requests of a route are divided among its services by their weights. */
class WeightedSplitTest {

    private static final int REQUESTS = 4_000;
    /** Three standard deviations of a share of one half, which has the greatest deviation. */
    private static final double TOLERANCE = 0.025;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final Map<String, Integer> attemptsByService = new HashMap<>();
    private final Map<String, String> serviceById = new HashMap<>();
    private long now = 1_000_000_000;

    /** Answers each attempt at once. */
    private final AttemptTransport transport = new AttemptTransport() {
        @Override
        public Handle send(Endpoint endpoint, UpstreamRequest request, Consumer<AttemptResult> callback) {
            String service = endpoint.instanceId();
            attemptsByService.merge(service, 1, Integer::sum);
            String before = serviceById.put(request.id(), service);
            assertThat(before).as("another attempt with the same id").isIn(null, service);
            callback.accept(new AttemptResult(
                    new RequestOutcome.Responded(200, List.of(), new byte[0]), new UpstreamLoad(1, 0, 8)));
            return () -> {};
        }
    };

    private ServiceHandlers handlers;

    private OutboundListener listener(String split) {
        handlers = new ServiceHandlers(
                channel.eventLoop(),
                () -> now,
                transport,
                () -> ProxyFixture.SETTINGS,
                List.of("z"),
                () -> 1,
                () -> {},
                service -> AttemptObserver.NONE);
        String service = "{'healthPath':'/health','maxConnections':32,'configVersion':'r1'}";
        Configuration configuration = Configuration.of(ConfigurationChange.read(
                        json("{'upsert':{'serviceTable':{'a':" + service + ",'b':" + service + "},'routeTable':{'r':"
                                + "{'hostname':'a','pathPrefix':'/','routeType':'idempotent','timeout':'4s',"
                                + "'targetLatency':'1s','priority':1,'weightedSplit':[" + split + "],'maxAttempts':2,"
                                + "'publicAccess':true,'configVersion':'r1'}}}}"))
                .get()
                .items());
        RoutingTable table = RoutingTable.empty().next(ProposalNumber.of("1@x"), configuration);
        return new OutboundListener(
                () -> now,
                () -> table,
                () -> "till",
                new QuotaGate(new UnconnectedRequester(), new SplittableRandom(1)),
                handlers,
                new RolloutRouting(),
                new RequestTrace(() -> now, 4));
    }

    private static byte[] json(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    private static Endpoint endpoint(String service) {
        return new Endpoint(service.charAt(0), "p-" + service, 1, "10.0.0.7:7000", service, "z");
    }

    private void setEndpoints(String... services) {
        Map<String, List<Endpoint>> endpoints = new HashMap<>();
        for (String service : services) {
            endpoints.put(service, List.of(endpoint(service)));
        }
        handlers.updateEndpoints(endpoints, Map.of());
    }

    private void send(OutboundListener listener, String id) {
        listener.handle(new ProxyFixture.Client() {
            @Override
            public List<Map.Entry<String, String>> headers() {
                return List.of(Map.entry("Cypressweir-Attempt-Id", id));
            }

            @Override
            public long arrivedMicros() {
                return now;
            }
        });
        now += 10_000;
        channel.runPendingTasks();
    }

    private double shareOfB(String split, String... servicesWithEndpoints) {
        OutboundListener listener = listener(split);
        // Endpoints are set only in handlers that exist already.
        handlers.handler("a", true);
        handlers.handler("b", true);
        handlers.handler("a", false);
        handlers.handler("b", false);
        setEndpoints(servicesWithEndpoints);
        for (int i = 0; i < REQUESTS; i++) {
            send(listener, Integer.toHexString(i * 0x9e3779b1) + "f" + i);
        }
        return attemptsByService.getOrDefault("b", 0) / (double) REQUESTS;
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
