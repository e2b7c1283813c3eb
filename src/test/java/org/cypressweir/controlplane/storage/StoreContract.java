package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.SupersededVersion;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.StorageUpdate;
import org.junit.jupiter.api.Test;

/** What every store does. */
abstract class StoreContract {

    static final List<String> CREW = List.of("10.0.0.1:7", "10.0.0.2:7");

    abstract Store open() throws IOException;

    /** The same store opened anew, as by a process that starts. */
    abstract Store again(Store before) throws IOException;

    static ProposalNumber stamp(long round) {
        return new ProposalNumber(round, "10.0.0.1:7");
    }

    static Item item(String name, long version, int length) {
        return new Item(
                new ItemKey(ItemType.TENANTS, name),
                version,
                Map.of("apiKeys", List.of("k".repeat(length))),
                List.of(new SupersededVersion(version - 1, "p")));
    }

    static StorageUpdate whole(long round, Item... items) {
        return new StorageUpdate(stamp(round), stamp(round), CREW, List.of(items), true);
    }

    @Test
    void keepsWhatIsWritten() throws IOException {
        Store store = open();
        assertThat(store.load()).isEmpty();
        Item gone = new Item(new ItemKey(ItemType.ROUTES, "\u00e4 b"), 4, null);
        store.write(whole(1, item("a", 1, 3), gone));
        store.write(new StorageUpdate(stamp(5), null, null, List.of(), false));
        store.write(new StorageUpdate(stamp(6), stamp(6), null, List.of(item("a", 2, 4), item("b", 1, 1)), false));
        PersistentState expected =
                new PersistentState(stamp(6), stamp(6), CREW, List.of(gone, item("a", 2, 4), item("b", 1, 1)), false);
        assertThat(store.load()).contains(expected);
        store = again(store);
        assertThat(store.load()).contains(expected);
        store.write(whole(9, item("c", 1, 1)));
        store = again(store);
        assertThat(store.load())
                .contains(new PersistentState(stamp(9), stamp(9), CREW, List.of(item("c", 1, 1)), false));
        store.write(new StorageUpdate(stamp(12), null, null, List.of(), false));
        assertThat(store.load().orElseThrow().accepted()).isEqualTo(stamp(9));
        assertThat(store.load().orElseThrow().learnedSecondHand()).isFalse();
        store.write(new StorageUpdate(stamp(15), stamp(14), CREW, List.of(), true));
        store.write(new StorageUpdate(stamp(16), null, null, List.of(), false));
        store = again(store);
        assertThat(store.load()).contains(new PersistentState(stamp(16), stamp(14), CREW, List.of(), true));
        store.close();
    }

    @Test
    void takesManyWrites() throws IOException {
        Store store = open();
        store.write(new StorageUpdate(
                stamp(1),
                stamp(1),
                CREW,
                IntStream.range(0, 300).mapToObj(i -> item("t" + i, 1, 200)).toList(),
                true));
        for (int i = 2; i < 900; i++) {
            store.write(new StorageUpdate(stamp(i), stamp(i), null, List.of(item("t" + i % 300, i, 3_000)), false));
            look(i);
        }
        store = again(store);
        PersistentState standing = store.load().orElseThrow();
        assertThat(standing.accepted()).isEqualTo(stamp(899));
        assertThat(standing.items()).hasSize(300).contains(item("t299", 899, 3_000), item("t0", 600, 3_000));
        store.close();
    }

    /** Looks at what is there after that many writes. */
    void look(int writes) throws IOException {}
}
