package org.cypressweir.controlplane.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Who stands at a place is told the names from there on, once each. */
class EndpointChangeLogTest {

    private final EndpointChangeLog log = new EndpointChangeLog();

    @Test
    void namesAreToldFromAPlaceOn() {
        assertThat(log.since(0)).isEmpty();
        log.changed("a");
        log.changed("b");
        long place = log.end();
        log.changed("c");
        log.changed("a");
        log.changed("c");
        assertThat(log.since(0)).containsExactly("a", "b", "c");
        assertThat(log.since(place)).containsExactly("c", "a");
        assertThat(log.since(log.end())).isEmpty();
        assertThat(log.since(log.end() + 1)).isNull();
        assertThat(log.since(-1)).isNull();
    }

    @Test
    void whatIsTooOldIsNotKnown() {
        for (int i = 0; i < 10_000; i++) {
            log.changed("n" + i % 3);
        }
        assertThat(log.since(0)).isNull();
        assertThat(log.since(log.end() - 4_096)).hasSize(3);
        assertThat(log.since(log.end() - 4_097)).isNull();
    }
}
