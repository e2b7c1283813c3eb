package org.cypressweir.controlplane.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.junit.jupiter.api.Test;

/** Who is there as a pilot knows it: from several harbours, from pilots, and while harbours are silent. */
class EndpointDirectoryTest {

    private static final long KEEP = 3_000_000;
    private final EndpointDirectory roster = new EndpointDirectory(KEEP);

    private List<String> names(long now) {
        roster.merge(now);
        return roster.all().stream().map(ProxyRegistration::name).sorted().toList();
    }

    @Test
    void whoIsInAnyViewIsThere() {
        roster.told("h1", true, List.of(ProxyRegistrations.of("a", 1, 1), ProxyRegistrations.of("b", 1, 5)), List.of());
        roster.told("h2", true, List.of(ProxyRegistrations.of("b", 1, 4), ProxyRegistrations.of("c", 1, 1)), List.of());
        assertThat(roster.merge(0)).isTrue();
        assertThat(roster.merge(1)).isFalse();
        assertThat(names(1)).containsExactly("a", "b", "c");
        assertThat(roster.get("b").number()).isEqualTo(5);

        roster.told("h1", false, List.of(ProxyRegistrations.of("a", 2, 0)), List.of("b"));
        assertThat(names(2)).containsExactly("a", "b", "c");
        assertThat(roster.get("b").number()).isEqualTo(4);
        assertThat(roster.get("a").life()).isEqualTo(2);

        roster.told("h2", true, List.of(ProxyRegistrations.of("c", 1, 1)), List.of());
        assertThat(names(3)).containsExactly("a", "c");
    }

    @Test
    void aSilentViewCountsForAWhileAndTheLastOneForEver() {
        roster.told("h1", true, List.of(ProxyRegistrations.of("a", 1, 1)), List.of());
        roster.told("h2", true, List.of(ProxyRegistrations.of("b", 1, 1)), List.of());
        roster.silent(1_000_000, "h1");
        roster.silent(2_000_000, "h1");
        assertThat(names(1_000_000 + KEEP - 1)).containsExactly("a", "b");
        assertThat(names(1_000_000 + KEEP)).containsExactly("b");
        roster.silent(9_000_000, "h2");
        assertThat(names(99_000_000)).containsExactly("a", "b");
        roster.told("h1", true, List.of(), List.of());
        assertThat(names(99_000_000)).isEmpty();
    }

    @Test
    void aPilotKnowsItselfBestAndDoesNotMakeItselfThere() {
        roster.told(ProxyRegistrations.of("a", 2, 2));
        assertThat(names(0)).isEmpty();
        roster.told("h1", true, List.of(ProxyRegistrations.of("a", 2, 1)), List.of());
        roster.told(ProxyRegistrations.of("a", 1, 9));
        assertThat(names(0)).containsExactly("a");
        assertThat(roster.get("a")).isEqualTo(ProxyRegistrations.of("a", 2, 2));
        roster.told("h1", false, List.of(ProxyRegistrations.of("a", 3, 1)), List.of());
        roster.merge(0);
        assertThat(roster.get("a").life()).isEqualTo(3);
    }

    @Test
    void aBerthIsToldWithWhatIsLeftOfItsTimes() throws java.io.IOException {
        ProxyRegistration berth = new ProxyRegistration(
                "n",
                7,
                8,
                "10.0.0.1:7000",
                "10.0.0.1:7500",
                "z",
                "s",
                true,
                new ApplicationInstance("i", "s", "10.0.0.1:80", 4, true, 5_000));
        byte[] bytes = JsonCodec.bytes(berth.toMap(2_000));
        ProxyRegistration told = ProxyRegistration.of(JsonCodec.read(bytes, 0, bytes.length), 100_000);
        assertThat(told.ship().warmAt()).isEqualTo(103_000);
        assertThat(ProxyRegistration.of(told.toMap(100_000), 2_000)).isEqualTo(berth);
        assertThat(told.takes()).isFalse();
        assertThat(ProxyRegistrations.of("a", 1, 1).takes()).isTrue();
        assertThat(ProxyRegistration.of(Map.of("name", "n"), 0)).isNull();
        assertThat(ProxyRegistration.of(Map.of("name", "n", "address", "10.0.0.1:7000"), 0)
                        .control())
                .isEmpty();
    }
}
