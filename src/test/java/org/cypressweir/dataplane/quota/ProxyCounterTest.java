package org.cypressweir.dataplane.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProxyCounterTest {

    private static final long MINUTE = 60_000_000;

    private final ProxyCounter counter = new ProxyCounter();

    @Test
    void aProxyThatIsNoLongerSeenStillCounts() {
        counter.seen(0, "p1", false);
        counter.seen(0, "p2", false);
        counter.seen(90 * MINUTE, "p1", false);
        counter.expire(119 * MINUTE);
        assertThat(counter.count()).isEqualTo(2);
        counter.expire(121 * MINUTE);
        assertThat(counter.count()).isEqualTo(1);
    }

    @Test
    void aProxyThatIsShuttingDownCountsForAMinute() {
        counter.seen(0, "p1", false);
        counter.seen(0, "p2", true);
        counter.expire(2 * MINUTE);
        assertThat(counter.count()).isEqualTo(1);
    }

    @Test
    void proxiesAreOnlyForgottenByExpire() {
        counter.seen(0, "p1", true);
        assertThat(counter.count()).isEqualTo(1);
    }
}
