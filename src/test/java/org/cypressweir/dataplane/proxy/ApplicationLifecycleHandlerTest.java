package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How a proxy handles the heartbeats of the instance beside it, also late ones and those after its end. */
class ApplicationLifecycleHandlerTest {

    private static final long HEARTBEAT_MICROS = 1_500_000;

    private long now = 1_000_000_000;
    private final List<ApplicationInstance> changes = new ArrayList<>();
    private ApplicationLifecycleHandler handler;

    @BeforeEach
    void start() {
        handler = new ApplicationLifecycleHandler(() -> now, ProxyFixture.SETTINGS, 1, changes::add);
    }

    private int call(String id, String call, String body) {
        ProxyFixture.Client client = new ProxyFixture.Client() {
            @Override
            public String uri() {
                return "/cypressweir/instances/" + id + "/" + call;
            }

            @Override
            public byte[] body() {
                return body.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
            }
        };
        handler.handle(client);
        return client.status();
    }

    private void heartbeat(String id, String state, int sequence) {
        assertThat(call(
                        id,
                        "heartbeat",
                        "{'address':'10.0.0.1:80','nodeInfo':{'service':'till','capacitySlots':4},'operStatus':"
                                + "{'operState':'" + state + "','callSequence':" + sequence + "}}"))
                .isEqualTo(200);
    }

    private void deregister(String id) {
        assertThat(call(id, "deregister", "")).isEqualTo(200);
    }

    @Test
    void anInstanceIsRegisteredDrainsAndEnds() {
        heartbeat("a", "in_service", 1);
        assertThat(handler.instance().draining()).isFalse();
        heartbeat("a", "draining", 2);
        assertThat(handler.instance().draining()).isTrue();
        assertThat(handler.drainingSince()).isEqualTo(now);
        deregister("a");
        assertThat(handler.instance()).isNull();
        assertThat(changes).hasSize(3);
    }

    /** Some instances deregister while they still serve: after the acknowledgement nothing new may be sent to them. */
    @Test
    void anInstanceThatDeregistersWithoutDrainingIsGoneAtOnce() {
        heartbeat("a", "in_service", 1);
        deregister("a");
        assertThat(handler.instance()).isNull();
        heartbeat("a", "in_service", 2);
        heartbeat("a", "draining", 3);
        assertThat(handler.instance()).isNull();
    }

    @Test
    void aLateHeartbeatDoesNotEndDraining() {
        heartbeat("a", "in_service", 1);
        heartbeat("a", "draining", 3);
        heartbeat("a", "in_service", 2);
        assertThat(handler.instance().draining()).isTrue();
        heartbeat("a", "in_service", 4);
        assertThat(handler.instance().draining()).as("draining is final").isTrue();
    }

    /** A late heartbeat of the previous instance must not replace its successor. */
    @Test
    void aLateHeartbeatOfAnEndedInstanceIsIgnored() {
        heartbeat("a", "in_service", 1);
        deregister("a");
        heartbeat("b", "in_service", 1);
        heartbeat("a", "draining", 2);
        assertThat(handler.instance().id()).isEqualTo("b");
        deregister("a");
        assertThat(handler.instance().id()).isEqualTo("b");
    }

    /** Heartbeats may be seconds late; an instance whose heartbeats stop counts as crashed, and may come back. */
    @Test
    void aSilentInstanceIsRemovedAndMayComeBack() {
        heartbeat("a", "in_service", 1);
        now += 3 * HEARTBEAT_MICROS;
        handler.tick();
        assertThat(handler.instance()).isNotNull();
        now += HEARTBEAT_MICROS;
        handler.tick();
        assertThat(handler.instance()).isNull();
        heartbeat("a", "in_service", 2);
        assertThat(handler.instance().id()).isEqualTo("a");
    }

    @Test
    void malformedHeartbeatsAreRejectedAndChangeNothing() {
        heartbeat("a", "in_service", 1);
        assertThat(call("a", "heartbeat", "{")).isEqualTo(400);
        assertThat(call("a", "heartbeat", "{'nodeInfo':{'service':'till'},'operStatus':{}}"))
                .isEqualTo(400);
        assertThat(call("a", "promote", "")).isEqualTo(404);
        assertThat(changes).hasSize(1);
    }
}
