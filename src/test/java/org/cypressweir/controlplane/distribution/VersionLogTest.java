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

/** A subscriber at a logged version gets the items that have changed since, including deleted ones. */
class VersionLogTest {

    private final VersionLog versionLog = new VersionLog();

    private static Item item(String name, long itemVersion, boolean present) {
        return new Item(new ItemKey(ItemType.SERVICES, name), itemVersion, present ? Map.of("v", itemVersion) : null);
    }

    private static ProposalNumber version(long number) {
        return new ProposalNumber(number, "h");
    }

    @Test
    void theDeltaSinceALoggedVersionIsGiven() {
        Configuration first = Configuration.of(List.of(item("a", 1, true), item("b", 1, true)));
        Configuration second = first.with(List.of(item("b", 2, true), item("c", 1, true)));
        Configuration third = second.with(List.of(item("c", 2, false)));
        versionLog.append(version(1), first);
        versionLog.append(version(4), second);
        versionLog.append(version(6), third);
        assertThat(versionLog.changedSince(ProposalNumber.ZERO)).containsExactlyInAnyOrderElementsOf(third.items());
        assertThat(versionLog.changedSince(version(1)))
                .containsExactlyInAnyOrder(item("b", 2, true), item("c", 2, false));
        assertThat(first.with(versionLog.changedSince(version(1)))).isEqualTo(third);
        assertThat(versionLog.changedSince(version(4))).containsExactly(item("c", 2, false));
        assertThat(versionLog.changedSince(version(6))).isEmpty();
        assertThat(versionLog.changedSince(version(5))).isNull();

        versionLog.append(version(4), first);
        versionLog.append(version(6), first);
        assertThat(versionLog.version()).isEqualTo(version(6));
        assertThat(versionLog.configuration()).isEqualTo(third);
    }

    @Test
    void aVersionThatIsTooOldIsUnknown() {
        Configuration configuration = Configuration.EMPTY;
        for (int i = 1; i <= 100; i++) {
            configuration = configuration.with(List.of(item("a", i, true)));
            versionLog.append(version(i), configuration);
        }
        assertThat(versionLog.changedSince(ProposalNumber.ZERO)).isNull();
        assertThat(versionLog.changedSince(version(35))).isNull();
        assertThat(versionLog.changedSince(version(36))).containsExactly(item("a", 100, true));
    }
}
