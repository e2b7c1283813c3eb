package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.StorageUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A disk through a long day; with {@code -Dlongday.changes=10000} at the size that is promised. */
class StoreEnduranceTest {

    private static final int ITEMS = 20_000;
    private static final int CHANGES = Integer.getInteger("longday.changes", 400);
    private static final long MOST = 40L << 20;

    @TempDir
    Path folder;

    private long size() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(f -> f.toFile().length())
                    .sum();
        }
    }

    @Test
    void takesNoMoreThanStatedWhateverItsLength() throws IOException {
        long most = 0;
        try (Store store = new XodusStore(folder.resolve("copy"))) {
            store.write(StoreContract.whole(
                    1,
                    IntStream.range(0, ITEMS)
                            .mapToObj(i -> StoreContract.item("t" + i, 1, 20))
                            .toArray(Item[]::new)));
            for (int i = 1; i <= CHANGES; i++) {
                store.write(new StorageUpdate(StoreContract.stamp(2 * i), null, null, List.of(), false));
                store.write(new StorageUpdate(
                        StoreContract.stamp(2 * i),
                        StoreContract.stamp(2 * i),
                        null,
                        List.of(StoreContract.item("t" + i * 7 % ITEMS, i + 1, 20)),
                        false));
                most = Math.max(most, size());
            }
        }
        System.out.println(CHANGES + " changes: " + size() + " bytes at the end, " + most + " at most");
        assertThat(most).isLessThan(MOST);
    }
}
