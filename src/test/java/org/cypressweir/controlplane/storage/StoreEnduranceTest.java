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

/** The disk usage of a store over many changes; {@code -Dlongday.changes=10000} runs it at the documented size. */
class StoreEnduranceTest {

    private static final int ITEMS = 20_000;
    private static final int CHANGES = Integer.getInteger("longday.changes", 400);
    private static final long MAX_BYTES = 40L << 20;

    @TempDir
    Path temporary;

    private long sizeBytes() throws IOException {
        try (Stream<Path> files = Files.walk(temporary)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    @Test
    void diskSpaceStaysBelowItsLimit() throws IOException {
        long maxBytes = 0;
        try (Store store = new XodusStore(temporary.resolve("store"))) {
            store.write(StoreContract.replaceAll(
                    1,
                    IntStream.range(0, ITEMS)
                            .mapToObj(i -> StoreContract.item("t" + i, 1, 20))
                            .toArray(Item[]::new)));
            for (int i = 1; i <= CHANGES; i++) {
                store.write(new StorageUpdate(StoreContract.proposal(2 * i), null, null, List.of(), false));
                store.write(new StorageUpdate(
                        StoreContract.proposal(2 * i),
                        StoreContract.proposal(2 * i),
                        null,
                        List.of(StoreContract.item("t" + i * 7 % ITEMS, i + 1, 20)),
                        false));
                maxBytes = Math.max(maxBytes, sizeBytes());
            }
        }
        System.out.println(CHANGES + " changes: bytes=" + sizeBytes() + " maxBytes=" + maxBytes);
        assertThat(maxBytes).isLessThan(MAX_BYTES);
    }
}
