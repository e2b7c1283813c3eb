package org.cypressweir.controlplane.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A subscriber gets the names that have changed since its offset, each once. */
class EndpointChangeLogTest {

    private final EndpointChangeLog log = new EndpointChangeLog();

    @Test
    void changesSinceAnOffsetAreNamedOnce() {
        assertThat(log.changedSince(0)).isEmpty();
        log.append("a");
        log.append("b");
        long offset = log.endOffset();
        log.append("c");
        log.append("a");
        log.append("c");
        assertThat(log.changedSince(0)).containsExactly("a", "b", "c");
        assertThat(log.changedSince(offset)).containsExactly("c", "a");
        assertThat(log.changedSince(log.endOffset())).isEmpty();
        assertThat(log.changedSince(log.endOffset() + 1)).isNull();
        assertThat(log.changedSince(-1)).isNull();
    }

    @Test
    void anOffsetThatIsTooOldIsUnknown() {
        for (int i = 0; i < 10_000; i++) {
            log.append("n" + i % 3);
        }
        assertThat(log.changedSince(0)).isNull();
        assertThat(log.changedSince(log.endOffset() - 4_096)).hasSize(3);
        assertThat(log.changedSince(log.endOffset() - 4_097)).isNull();
    }
}
