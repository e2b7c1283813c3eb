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

class XodusStoreTest extends StoreContract {

    private static final long LARGE = 2L << 20;

    @TempDir
    Path folder;

    @Override
    XodusStore open() throws IOException {
        return new XodusStore(folder.resolve("copy"), LARGE);
    }

    @Override
    Store again(Store before) throws IOException {
        before.close();
        return open();
    }

    @Override
    void look(int writes) throws IOException {
        if (writes % 50 == 0) {
            assertThat(size()).isLessThan(4 * LARGE);
        }
    }

    private long size() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            long size = 0;
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                size += Files.size(file);
            }
            return size;
        }
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    /** Never older without a word: what can't be read is kept aside, the last two times, and none stands. */
    @Test
    void filesThatAreDamagedAreSetAside() throws IOException {
        for (int i = 1; i <= 4; i++) {
            try (XodusStore store = open()) {
                assertThat(store.damaged()).isEqualTo(i > 1);
                assertThat(store.load()).isEmpty();
                store.write(whole(i, item("a", i, 3)));
            }
            if (i % 2 == 0) {
                Files.delete(file("copy/current"));
            } else {
                byte[] bytes = new byte[9_000];
                Arrays.fill(bytes, (byte) 0x5a);
                Files.write(file("copy/1/00000000000.xd"), bytes);
            }
            try (XodusStore store = open()) {
                assertThat(store.setAside()).as("the " + i + ". time").isPresent();
                assertThat(store.damaged()).isTrue();
                assertThat(store.load()).isEmpty();
            }
            try (XodusStore store = open()) {
                assertThat(store.setAside()).isEmpty();
            }
            assertThat(DurableDirectories.names(folder.resolve("copy")).stream().filter(n -> n.startsWith("aside")))
                    .hasSize(Math.min(i, 2))
                    .contains("aside-" + i);
        }
        assertThat(Files.exists(folder.resolve("copy/aside-4/1/00000000000.xd")))
                .isTrue();
    }

    /** A disk that is full or refuses reads is not judged: all is there once it is free again. */
    @Test
    void aDiskThatRefusesIsNotDamaged() throws IOException {
        try (Store store = open()) {
            store.write(whole(1, item("a", 1, 3)));
        }
        Files.writeString(file("copy/current"), "q\n");
        DurableDirectories refuses = new DurableDirectories() {
            @Override
            void replace(Path file, String text) throws IOException {
                throw new IOException("No space left on device");
            }
        };
        assertThatThrownBy(() -> new XodusStore(folder.resolve("copy"), LARGE, 1024, refuses))
                .hasMessageContaining("No space");
        Files.writeString(file("copy/current"), "1\n");
        try (XodusStore store = open()) {
            assertThat(store.damaged()).isFalse();
            assertThat(store.load().orElseThrow().accepted()).isEqualTo(stamp(1));
        }
    }

    @Test
    void goesOnAfterAWriteThatFailed() throws IOException {
        Store store = open();
        store.write(whole(1, item("a", 1, 3)));
        Path current = folder.resolve("copy/1");
        Path away = folder.resolve("away");
        Files.move(current, away);
        assertThatThrownBy(() -> store.write(whole(2, item("a", 2, 2_000_000)))).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> store.write(whole(3))).isInstanceOf(IOException.class);
        Files.move(away, current);
        store.write(whole(4, item("a", 4, 10)));
        assertThat(again(store).load().orElseThrow().accepted()).isEqualTo(stamp(4));
    }

    @Test
    void leavesNoThreadThatKeepsTheProcess() throws IOException {
        Store store = open();
        store.write(whole(1, item("a", 1, 3)));
        assertThat(Thread.getAllStackTraces().keySet())
                .noneMatch(t -> !t.isDaemon() && t.getName().toLowerCase().contains("exodus"));
        store.close();
    }
}
