package org.cypressweir.controlplane.controller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.RecordedPeerConnection;
import org.cypressweir.controlplane.registry.ProxyRegistrations;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Updates of many proxies by one controller, also after a restart or a pause of the controller. */
class UpdatePublisherTest {

    private static final long START = 1_000_000_000;
    private static final long INCARNATION = 900;
    private static final long TICK_MICROS = 50_000;
    private static final int PROXIES = 40;

    private long now = START;
    private final List<RecordedPeerConnection> connections = new ArrayList<>();
    private UpdatePublisher publisher;

    @BeforeEach
    void start() {
        publisher = new UpdatePublisher(
                () -> now,
                INCARNATION,
                "10.0.0.1:9",
                () -> 0,
                new QuotaCoordinator(0),
                new RolloutDriver(() -> now, () -> null));
    }

    private static String name(int proxy) {
        return "proxy-" + proxy;
    }

    private void connect(int proxy) {
        RecordedPeerConnection recorded = new RecordedPeerConnection(START);
        connections.add(recorded);
        publisher.connected(recorded.connection(), name(proxy));
        recorded.takeMessages();
    }

    private void register(int proxy, long number) {
        send(
                proxy,
                JsonCodec.map(
                        "t",
                        "berth",
                        "berth",
                        ProxyRegistrations.of(name(proxy), 1, number).toMap(now)));
    }

    private void subscribe(int proxy) {
        send(proxy, JsonCodec.map("t", "follow", "life", 0L, "place", -1L));
    }

    private void send(int proxy, Map<String, Object> message) {
        publisher.received(connections.get(proxy).connection(), message);
    }

    private List<String> takeUpdates(int proxy) {
        return connections.get(proxy).takeMessages().stream()
                .filter(message -> message.contains("\"roster\""))
                .toList();
    }

    private void tick() {
        now += TICK_MICROS;
        publisher.tick();
    }

    private void connectAll() {
        for (int i = 0; i < PROXIES; i++) {
            connect(i);
            register(i, 1);
            subscribe(i);
        }
        tick();
    }

    /** Of many proxies that connect at once, each gets one snapshot, and later changes in a few updates. */
    @Test
    void connectingProxiesGetOneSnapshotEach() {
        connectAll();
        for (int i = 0; i < PROXIES; i++) {
            List<String> updates = takeUpdates(i);
            assertThat(updates.stream().filter(update -> update.contains("\"whole\":true")))
                    .hasSize(1);
            assertThat(updates).hasSizeLessThanOrEqualTo(3);
            for (int other = 0; other < PROXIES; other++) {
                assertThat(String.join("", updates)).contains("\"" + name(other) + "\"");
            }
        }
    }

    @Test
    void aProxyThatHasNotSubscribedGetsNoEndpoints() {
        connect(0);
        register(0, 1);
        tick();
        assertThat(takeUpdates(0)).isEmpty();
        subscribe(0);
        assertThat(takeUpdates(0)).hasSize(1);
    }

    /** The first change is not delayed; further ones within the same tick are batched. */
    @Test
    void aSingleChangeIsSentAtOnceAndManyTogether() {
        connectAll();
        takeUpdates(0);
        register(1, 2);
        assertThat(takeUpdates(0)).singleElement().asString().contains("\"" + name(1) + "\"");
        for (int i = 2; i < PROXIES; i++) {
            register(i, 2);
        }
        assertThat(takeUpdates(0)).isEmpty();
        tick();
        assertThat(takeUpdates(0)).singleElement().asString().contains("\"" + name(2) + "\"", "\"" + name(39) + "\"");
        tick();
        assertThat(takeUpdates(0)).isEmpty();
    }

    /** While the controller is paused it reads nothing, which must not be taken for silence of the proxies. */
    @Test
    void aControllerThatWasLateExpiresNobody() {
        connectAll();
        now += 5_000_000;
        publisher.tick();
        tick();
        assertThat(publisher.registry().size()).isEqualTo(PROXIES);
    }

    @Test
    void silentProxiesExpireWhileTheControllerRuns() {
        connectAll();
        for (int i = 0; i < 60; i++) {
            tick();
        }
        assertThat(publisher.registry().size()).isZero();
    }
}
