package org.cypressweir.controlplane.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.assertj.core.data.Percentage;
import org.cypressweir.controlplane.storage.InMemoryStore;
import org.cypressweir.testkit.ThreeReplicas;
import org.junit.jupiter.api.Test;

/** The bytes that replicas send for one change depend on the size of the change alone. */
class OneChangeTest {

    static String tenants(int from, int to, int version) {
        return "{\"upsert\":{\"tenantTable\":{"
                + IntStream.range(from, to)
                        .mapToObj(i -> "\"t" + i
                                + "\":{\"apiKeys\":[\"key-" + i + "-" + version + "\"],\"configVersion\":\"r" + version
                                + "\"}")
                        .collect(Collectors.joining(","))
                + "}}}";
    }

    private static long bytesSentForOneChange(int items) {
        ThreeReplicas replicas =
                new ThreeReplicas(List.of(new InMemoryStore(), new InMemoryStore(), new InMemoryStore()));
        assertThat(replicas.submit(tenants(0, items, 1))).isInstanceOf(ProposalResult.Committed.class);
        long before = replicas.sentBytes();
        assertThat(replicas.submit(tenants(5, 6, 2))).isInstanceOf(ProposalResult.Committed.class);
        return replicas.sentBytes() - before;
    }

    @Test
    void bytesSentDoNotDependOnTheSizeOfTheConfiguration() {
        assertThat(bytesSentForOneChange(5_000)).isCloseTo(bytesSentForOneChange(10), Percentage.withPercentage(10));
    }
}
