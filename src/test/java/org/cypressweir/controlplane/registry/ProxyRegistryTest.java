package org.cypressweir.controlplane.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The proxies that are registered with a controller. */
class ProxyRegistryTest {

    private static final long GRACE_MICROS = 300_000;
    private final ProxyRegistry registry = new ProxyRegistry(GRACE_MICROS);

    @Test
    void aDisconnectedProxyExpiresAfterTheGracePeriod() {
        assertThat(registry.register("c1", ProxyRegistrations.of("a", 1, 1))).isTrue();
        assertThat(registry.register("c1", ProxyRegistrations.of("a", 1, 1))).isFalse();
        assertThat(registry.register("c2", ProxyRegistrations.of("b", 1, 1))).isTrue();
        registry.connectionLost(1_000, "c1");
        registry.connectionLost(200_000, "c1");
        assertThat(registry.expire(1_000 + GRACE_MICROS)).isEmpty();
        assertThat(registry.get("a")).isNotNull();
        assertThat(registry.expire(1_001 + GRACE_MICROS)).containsExactly("a");
        assertThat(registry.expire(1_001 + GRACE_MICROS)).isEmpty();
        assertThat(registry.all()).extracting(ProxyRegistration::name).containsExactly("b");
    }

    @Test
    void aProxyWithoutGracefulShutdownIsListedAsExpiredUntilItReturns() {
        registry.register("c1", ProxyRegistrations.of("a", 1, 1));
        registry.register("c2", ProxyRegistrations.of("b", 1, 1));
        registry.register("c3", new ProxyRegistration("c", 1, 1, "10.0.0.1:7000", "", "z", "s", true, null));
        List.of("c1", "c2", "c3").forEach(connection -> registry.connectionLost(1_000, connection));
        registry.expire(1_001 + GRACE_MICROS);
        assertThat(registry.expired())
                .extracting(proxy -> proxy.registration().name())
                .containsExactly("a", "b");
        registry.register("c1", ProxyRegistrations.of("a", 2, 1));
        assertThat(registry.expired())
                .extracting(proxy -> proxy.registration().name())
                .containsExactly("b");
        registry.expire(4_000_000_000L);
        assertThat(registry.expired()).isEmpty();
    }

    @Test
    void aNewConnectionInTimeKeepsTheRegistration() {
        registry.register("c1", ProxyRegistrations.of("a", 1, 1));
        assertThat(registry.register("c2", ProxyRegistrations.of("a", 1, 1))).isFalse();
        registry.connectionLost(1_000, "c1");
        assertThat(registry.expire(9_000_000)).isEmpty();
        registry.connectionLost(9_000_000, "c2");
        registry.connectionAlive("c2");
        assertThat(registry.expire(99_000_000)).isEmpty();
    }

    @Test
    void aLaterIncarnationReplacesAnEarlierOne() {
        registry.register("c1", ProxyRegistrations.of("a", 1, 50));
        assertThat(registry.register("c2", ProxyRegistrations.of("a", 2, 0))).isTrue();
        assertThat(registry.register("c1", ProxyRegistrations.of("a", 1, 51))).isFalse();
        assertThat(registry.get("a").incarnation()).isEqualTo(2);
        registry.connectionLost(1_000, "c1");
        assertThat(registry.expire(9_000_000)).isEmpty();
    }

    @Test
    void anEarlierIncarnationIsAcceptedOnceTheLaterHasExpired() {
        registry.register("c1", ProxyRegistrations.of("a", 9, 1));
        registry.connectionLost(1_000, "c1");
        assertThat(registry.register("c2", ProxyRegistrations.of("a", 8, 1))).isFalse();
        assertThat(registry.expire(1_001 + GRACE_MICROS)).containsExactly("a");
        assertThat(registry.register("c2", ProxyRegistrations.of("a", 8, 1))).isTrue();
        assertThat(registry.size()).isEqualTo(1);
    }
}
