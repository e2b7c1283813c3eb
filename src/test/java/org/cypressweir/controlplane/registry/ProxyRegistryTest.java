package org.cypressweir.controlplane.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Who is there as a harbour knows it. */
class ProxyRegistryTest {

    private static final long GRACE = 300_000;
    private final ProxyRegistry register = new ProxyRegistry(GRACE);

    @Test
    void whoseLineIsLostGoesAfterAWhile() {
        assertThat(register.told("l1", ProxyRegistrations.of("a", 1, 1))).isTrue();
        assertThat(register.told("l1", ProxyRegistrations.of("a", 1, 1))).isFalse();
        assertThat(register.told("l2", ProxyRegistrations.of("b", 1, 1))).isTrue();
        register.lost(1_000, "l1");
        register.lost(200_000, "l1");
        assertThat(register.sweep(1_000 + GRACE)).isEmpty();
        assertThat(register.get("a")).isNotNull();
        assertThat(register.sweep(1_001 + GRACE)).containsExactly("a");
        assertThat(register.sweep(1_001 + GRACE)).isEmpty();
        assertThat(register.all()).extracting(ProxyRegistration::name).containsExactly("b");
    }

    @Test
    void whoHasNotSaidThatItLeavesIsMissedUntilItComesBack() {
        register.told("l1", ProxyRegistrations.of("a", 1, 1));
        register.told("l2", ProxyRegistrations.of("b", 1, 1));
        register.told("l3", new ProxyRegistration("c", 1, 1, "10.0.0.1:7000", "", "z", "s", true, null));
        List.of("l1", "l2", "l3").forEach(line -> register.lost(1_000, line));
        register.sweep(1_001 + GRACE);
        assertThat(register.missed()).extracting(one -> one.berth().name()).containsExactly("a", "b");
        register.told("l1", ProxyRegistrations.of("a", 2, 1));
        assertThat(register.missed()).extracting(one -> one.berth().name()).containsExactly("b");
        register.sweep(4_000_000_000L);
        assertThat(register.missed()).isEmpty();
    }

    @Test
    void anotherLineInTimeKeepsIt() {
        register.told("l1", ProxyRegistrations.of("a", 1, 1));
        assertThat(register.told("l2", ProxyRegistrations.of("a", 1, 1))).isFalse();
        register.lost(1_000, "l1");
        assertThat(register.sweep(9_000_000)).isEmpty();
        register.lost(9_000_000, "l2");
        register.heard("l2");
        assertThat(register.sweep(99_000_000)).isEmpty();
    }

    @Test
    void aLaterLifeGoesBefore() {
        register.told("l1", ProxyRegistrations.of("a", 1, 50));
        assertThat(register.told("l2", ProxyRegistrations.of("a", 2, 0))).isTrue();
        assertThat(register.told("l1", ProxyRegistrations.of("a", 1, 51))).isFalse();
        assertThat(register.get("a").life()).isEqualTo(2);
        register.lost(1_000, "l1");
        assertThat(register.sweep(9_000_000)).isEmpty();
    }

    @Test
    void anEarlierLifeIsTakenOnceTheLaterHasGone() {
        register.told("l1", ProxyRegistrations.of("a", 9, 1));
        register.lost(1_000, "l1");
        assertThat(register.told("l2", ProxyRegistrations.of("a", 8, 1))).isFalse();
        assertThat(register.sweep(1_001 + GRACE)).containsExactly("a");
        assertThat(register.told("l2", ProxyRegistrations.of("a", 8, 1))).isTrue();
        assertThat(register.size()).isEqualTo(1);
    }
}
