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

/** Tests that every {@link Store} has to pass. */
abstract class StoreContract {

    static final List<String> VOTERS = List.of("10.0.0.1:7", "10.0.0.2:7");

    abstract Store open() throws IOException;

    /** Closes the store and opens it again, as after a restart of the process. */
    abstract Store reopen(Store store) throws IOException;

    static ProposalNumber proposal(long round) {
        return new ProposalNumber(round, "10.0.0.1:7");
    }

    static Item item(String name, long version, int keyLength) {
        return new Item(
                new ItemKey(ItemType.TENANTS, name),
                version,
                Map.of("apiKeys", List.of("k".repeat(keyLength))),
                List.of(new SupersededVersion(version - 1, "p")));
    }

    /** An update that replaces all items. */
    static StorageUpdate replaceAll(long round, Item... items) {
        return new StorageUpdate(proposal(round), proposal(round), VOTERS, List.of(items), true);
    }

    @Test
    void loadsWhatWasWritten() throws IOException {
        Store store = open();
        assertThat(store.load()).isEmpty();
        Item withdrawn = new Item(new ItemKey(ItemType.ROUTES, "\u00e4 b"), 4, null);
        store.write(replaceAll(1, item("a", 1, 3), withdrawn));
        store.write(new StorageUpdate(proposal(5), null, null, List.of(), false));
        store.write(
                new StorageUpdate(proposal(6), proposal(6), null, List.of(item("a", 2, 4), item("b", 1, 1)), false));
        PersistentState expected = new PersistentState(
                proposal(6), proposal(6), VOTERS, List.of(withdrawn, item("a", 2, 4), item("b", 1, 1)), false);
        assertThat(store.load()).contains(expected);
        store = reopen(store);
        assertThat(store.load()).contains(expected);
        store.write(replaceAll(9, item("c", 1, 1)));
        store = reopen(store);
        assertThat(store.load())
                .contains(new PersistentState(proposal(9), proposal(9), VOTERS, List.of(item("c", 1, 1)), false));
        store.write(new StorageUpdate(proposal(12), null, null, List.of(), false));
        assertThat(store.load().orElseThrow().accepted()).isEqualTo(proposal(9));
        assertThat(store.load().orElseThrow().learnedSecondHand()).isFalse();
        store.write(new StorageUpdate(proposal(15), proposal(14), VOTERS, List.of(), true));
        store.write(new StorageUpdate(proposal(16), null, null, List.of(), false));
        store = reopen(store);
        assertThat(store.load()).contains(new PersistentState(proposal(16), proposal(14), VOTERS, List.of(), true));
        store.close();
    }

    @Test
    void acceptsManyWrites() throws IOException {
        Store store = open();
        store.write(new StorageUpdate(
                proposal(1),
                proposal(1),
                VOTERS,
                IntStream.range(0, 300).mapToObj(i -> item("t" + i, 1, 200)).toList(),
                true));
        for (int i = 2; i < 900; i++) {
            store.write(
                    new StorageUpdate(proposal(i), proposal(i), null, List.of(item("t" + i % 300, i, 3_000)), false));
            afterWrites(i);
        }
        store = reopen(store);
        PersistentState state = store.load().orElseThrow();
        assertThat(state.accepted()).isEqualTo(proposal(899));
        assertThat(state.items()).hasSize(300).contains(item("t299", 899, 3_000), item("t0", 600, 3_000));
        store.close();
    }

    /** Called after each write with the number of writes so far, for assertions about a particular store. */
    void afterWrites(int writes) throws IOException {}
}
