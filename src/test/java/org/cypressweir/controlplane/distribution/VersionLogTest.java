package org.cypressweir.controlplane.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.junit.jupiter.api.Test;

/** Who has a state of the configuration is told what has changed since, withdrawn items too. */
class VersionLogTest {

    private final VersionLog editions = new VersionLog();

    private static Item item(String name, long version, boolean there) {
        return new Item(new ItemKey(ItemType.SERVICES, name), version, there ? Map.of("v", version) : null);
    }

    private static ProposalNumber stamp(long round) {
        return new ProposalNumber(round, "h");
    }

    @Test
    void whatHasChangedSinceIsTold() {
        Configuration first = Configuration.of(List.of(item("a", 1, true), item("b", 1, true)));
        Configuration second = first.with(List.of(item("b", 2, true), item("c", 1, true)));
        Configuration third = second.with(List.of(item("c", 2, false)));
        editions.show(stamp(1), first);
        editions.show(stamp(4), second);
        editions.show(stamp(6), third);
        assertThat(editions.since(ProposalNumber.ZERO)).containsExactlyInAnyOrderElementsOf(third.items());
        assertThat(editions.since(stamp(1))).containsExactlyInAnyOrder(item("b", 2, true), item("c", 2, false));
        assertThat(first.with(editions.since(stamp(1)))).isEqualTo(third);
        assertThat(editions.since(stamp(4))).containsExactly(item("c", 2, false));
        assertThat(editions.since(stamp(6))).isEmpty();
        assertThat(editions.since(stamp(5))).isNull();

        editions.show(stamp(4), first);
        editions.show(stamp(6), first);
        assertThat(editions.stamp()).isEqualTo(stamp(6));
        assertThat(editions.manifest()).isEqualTo(third);
    }

    @Test
    void whatIsTooOldIsNotKnown() {
        Configuration manifest = Configuration.EMPTY;
        for (int i = 1; i <= 100; i++) {
            manifest = manifest.with(List.of(item("a", i, true)));
            editions.show(stamp(i), manifest);
        }
        assertThat(editions.since(ProposalNumber.ZERO)).isNull();
        assertThat(editions.since(stamp(35))).isNull();
        assertThat(editions.since(stamp(36))).containsExactly(item("a", 100, true));
    }
}
