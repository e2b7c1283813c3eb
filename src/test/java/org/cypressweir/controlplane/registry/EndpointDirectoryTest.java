package org.cypressweir.controlplane.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cypressweir.common.transport.JsonCodec;
import org.junit.jupiter.api.Test;

/** Merging the views of several controllers, direct registrations, and the views of silent controllers. */
class EndpointDirectoryTest {

    private static final long SILENT_VIEW_LIFETIME_MICROS = 3_000_000;
    private final EndpointDirectory directory = new EndpointDirectory(SILENT_VIEW_LIFETIME_MICROS);

    private List<String> names(long now) {
        directory.merge(now);
        return directory.all().stream().map(ProxyRegistration::name).sorted().toList();
    }

    @Test
    void aProxyInAnyViewIsPresent() {
        directory.updateView(
                "c1", true, List.of(ProxyRegistrations.of("a", 1, 1), ProxyRegistrations.of("b", 1, 5)), List.of());
        directory.updateView(
                "c2", true, List.of(ProxyRegistrations.of("b", 1, 4), ProxyRegistrations.of("c", 1, 1)), List.of());
        assertThat(directory.merge(0)).isTrue();
        assertThat(directory.merge(1)).isFalse();
        assertThat(names(1)).containsExactly("a", "b", "c");
        assertThat(directory.get("b").number()).isEqualTo(5);

        directory.updateView("c1", false, List.of(ProxyRegistrations.of("a", 2, 0)), List.of("b"));
        assertThat(names(2)).containsExactly("a", "b", "c");
        assertThat(directory.get("b").number()).isEqualTo(4);
        assertThat(directory.get("a").incarnation()).isEqualTo(2);

        directory.updateView("c2", true, List.of(ProxyRegistrations.of("c", 1, 1)), List.of());
        assertThat(names(3)).containsExactly("a", "c");
    }

    @Test
    void aSilentViewExpiresUnlessAllViewsAreSilent() {
        directory.updateView("c1", true, List.of(ProxyRegistrations.of("a", 1, 1)), List.of());
        directory.updateView("c2", true, List.of(ProxyRegistrations.of("b", 1, 1)), List.of());
        directory.markSilent(1_000_000, "c1");
        directory.markSilent(2_000_000, "c1");
        assertThat(names(1_000_000 + SILENT_VIEW_LIFETIME_MICROS - 1)).containsExactly("a", "b");
        assertThat(names(1_000_000 + SILENT_VIEW_LIFETIME_MICROS)).containsExactly("b");
        directory.markSilent(9_000_000, "c2");
        assertThat(names(99_000_000)).containsExactly("a", "b");
        directory.updateView("c1", true, List.of(), List.of());
        assertThat(names(99_000_000)).isEmpty();
    }

    @Test
    void aProxysOwnRegistrationIsPreferredButDoesNotMakeItPresent() {
        directory.updateDirect(ProxyRegistrations.of("a", 2, 2));
        assertThat(names(0)).isEmpty();
        directory.updateView("c1", true, List.of(ProxyRegistrations.of("a", 2, 1)), List.of());
        directory.updateDirect(ProxyRegistrations.of("a", 1, 9));
        assertThat(names(0)).containsExactly("a");
        assertThat(directory.get("a")).isEqualTo(ProxyRegistrations.of("a", 2, 2));
        directory.updateView("c1", false, List.of(ProxyRegistrations.of("a", 3, 1)), List.of());
        directory.merge(0);
        assertThat(directory.get("a").incarnation()).isEqualTo(3);
    }

    @Test
    void anEncodedRegistrationHoldsTheRemainingWarmUpTime() throws java.io.IOException {
        ProxyRegistration sent = new ProxyRegistration(
                "n",
                7,
                8,
                "10.0.0.1:7000",
                "10.0.0.1:7500",
                "z",
                "s",
                true,
                new ApplicationInstance("i", "s", "10.0.0.1:80", 4, true, 5_000));
        byte[] bytes = JsonCodec.bytes(sent.toMap(2_000));
        ProxyRegistration received = ProxyRegistration.of(JsonCodec.read(bytes, 0, bytes.length), 100_000);
        assertThat(received.instance().warmAt()).isEqualTo(103_000);
        assertThat(ProxyRegistration.of(received.toMap(100_000), 2_000)).isEqualTo(sent);
        assertThat(received.acceptsRequests()).isFalse();
        assertThat(ProxyRegistrations.of("a", 1, 1).acceptsRequests()).isTrue();
        assertThat(ProxyRegistration.of(Map.of("name", "n"), 0)).isNull();
        assertThat(ProxyRegistration.of(Map.of("name", "n", "address", "10.0.0.1:7000"), 0)
                        .control())
                .isEmpty();
    }
}
