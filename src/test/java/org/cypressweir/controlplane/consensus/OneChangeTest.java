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

    private static long sentForOne(int items) {
        ThreeReplicas three = new ThreeReplicas(List.of(new InMemoryStore(), new InMemoryStore(), new InMemoryStore()));
        assertThat(three.submit(tenants(0, items, 1))).isInstanceOf(ProposalResult.Taken.class);
        long before = three.sentBytes();
        assertThat(three.submit(tenants(5, 6, 2))).isInstanceOf(ProposalResult.Taken.class);
        return three.sentBytes() - before;
    }

    @Test
    void bytesSentDoNotDependOnTheSizeOfTheConfiguration() {
        assertThat(sentForOne(5_000)).isCloseTo(sentForOne(10), Percentage.withPercentage(10));
    }
}
