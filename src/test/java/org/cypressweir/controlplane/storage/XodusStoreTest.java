package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store on disk passes the {@link StoreContract}, and recovers from damage, full disks and failed writes. */
class XodusStoreTest extends StoreContract {

    private static final long COMPACTION_BYTES = 2L << 20;

    /** Fixed, as it is on disk. */
    private static final String QUARANTINE_PREFIX = "aside-";

    @TempDir
    Path temporary;

    @Override
    XodusStore open() throws IOException {
        return new XodusStore(temporary.resolve("store"), COMPACTION_BYTES);
    }

    @Override
    Store reopen(Store store) throws IOException {
        store.close();
        return open();
    }

    @Override
    void afterWrites(int writes) throws IOException {
        if (writes % 50 == 0) {
            assertThat(sizeBytes()).isLessThan(4 * COMPACTION_BYTES);
        }
    }

    private long sizeBytes() throws IOException {
        try (Stream<Path> files = Files.walk(temporary)) {
            long size = 0;
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                size += Files.size(file);
            }
            return size;
        }
    }

    private Path file(String name) {
        return temporary.resolve(name);
    }

    /** Damage is always reported: the files are quarantined, those of the last two times kept; the store is empty. */
    @Test
    void quarantinesDamagedFiles() throws IOException {
        for (int i = 1; i <= 4; i++) {
            try (XodusStore store = open()) {
                assertThat(store.damaged()).isEqualTo(i > 1);
                assertThat(store.load()).isEmpty();
                store.write(replaceAll(i, item("a", i, 3)));
            }
            if (i % 2 == 0) {
                Files.delete(file("store/current"));
            } else {
                byte[] bytes = new byte[9_000];
                Arrays.fill(bytes, (byte) 0x5a);
                Files.write(file("store/1/00000000000.xd"), bytes);
            }
            try (XodusStore store = open()) {
                assertThat(store.quarantineReason()).as("damage " + i).isPresent();
                assertThat(store.damaged()).isTrue();
                assertThat(store.load()).isEmpty();
            }
            try (XodusStore store = open()) {
                assertThat(store.quarantineReason()).isEmpty();
            }
            assertThat(DurableDirectories.names(temporary.resolve("store")).stream()
                            .filter(name -> name.startsWith(QUARANTINE_PREFIX)))
                    .hasSize(Math.min(i, 2))
                    .contains(QUARANTINE_PREFIX + i);
        }
        assertThat(Files.exists(temporary.resolve("store/aside-4/1/00000000000.xd")))
                .isTrue();
    }

    /** A full or failing disk is no damage: the state can be read once the disk works again. */
    @Test
    void failingDiskIsNotDamaged() throws IOException {
        try (Store store = open()) {
            store.write(replaceAll(1, item("a", 1, 3)));
        }
        Files.writeString(file("store/current"), "q\n");
        DurableDirectories fullDisk = new DurableDirectories() {
            @Override
            void replace(Path file, String text) throws IOException {
                throw new IOException("No space left on device");
            }
        };
        assertThatThrownBy(() -> new XodusStore(temporary.resolve("store"), COMPACTION_BYTES, 1024, fullDisk))
                .hasMessageContaining("No space");
        Files.writeString(file("store/current"), "1\n");
        try (XodusStore store = open()) {
            assertThat(store.damaged()).isFalse();
            assertThat(store.load().orElseThrow().accepted()).isEqualTo(proposal(1));
        }
    }

    @Test
    void recoversAfterFailedWrite() throws IOException {
        Store store = open();
        store.write(replaceAll(1, item("a", 1, 3)));
        Path current = temporary.resolve("store/1");
        Path moved = temporary.resolve("moved");
        Files.move(current, moved);
        assertThatThrownBy(() -> store.write(replaceAll(2, item("a", 2, 2_000_000))))
                .isInstanceOf(IOException.class);
        assertThatThrownBy(() -> store.write(replaceAll(3))).isInstanceOf(IOException.class);
        Files.move(moved, current);
        store.write(replaceAll(4, item("a", 4, 10)));
        assertThat(reopen(store).load().orElseThrow().accepted()).isEqualTo(proposal(4));
    }

    @Test
    void startsNoThreadThatKeepsTheProcessAlive() throws IOException {
        Store store = open();
        store.write(replaceAll(1, item("a", 1, 3)));
        assertThat(Thread.getAllStackTraces().keySet())
                .noneMatch(thread ->
                        !thread.isDaemon() && thread.getName().toLowerCase().contains("exodus"));
        store.close();
    }
}
