package larkbank.chart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import larkbank.copies.Ballot;
import larkbank.manifest.Item;
import larkbank.manifest.Key;
import larkbank.manifest.Manifest;
import larkbank.manifest.Table;
import org.junit.jupiter.api.Test;

/** Who has a state of the configuration is told what has changed since, withdrawn items too. */
class EditionsTest {

    private final Editions editions = new Editions();

    private static Item item(String name, long version, boolean there) {
        return new Item(new Key(Table.SERVICES, name), version, there ? Map.of("v", version) : null);
    }

    private static Ballot stamp(long round) {
        return new Ballot(round, "h");
    }

    @Test
    void whatHasChangedSinceIsTold() {
        Manifest first = Manifest.of(List.of(item("a", 1, true), item("b", 1, true)));
        Manifest second = first.with(List.of(item("b", 2, true), item("c", 1, true)));
        Manifest third = second.with(List.of(item("c", 2, false)));
        editions.show(stamp(1), first);
        editions.show(stamp(4), second);
        editions.show(stamp(6), third);
        assertThat(editions.since(Ballot.ZERO)).containsExactlyInAnyOrderElementsOf(third.items());
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
        Manifest manifest = Manifest.EMPTY;
        for (int i = 1; i <= 100; i++) {
            manifest = manifest.with(List.of(item("a", i, true)));
            editions.show(stamp(i), manifest);
        }
        assertThat(editions.since(Ballot.ZERO)).isNull();
        assertThat(editions.since(stamp(35))).isNull();
        assertThat(editions.since(stamp(36))).containsExactly(item("a", 100, true));
    }
}
