package larkbank.hold;

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
    Store open() throws IOException {
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

    private Path file(String ending) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(f -> f.getFileName().toString().endsWith(ending)).findFirst().orElseThrow();
        }
    }

    @Test
    void filesThatCannotBeReadAreTold() throws IOException {
        Store store = open();
        store.write(whole(1, item("a", 1, 3)));
        store.close();
        byte[] bytes = Files.readAllBytes(file(".xd"));
        byte[] broken = bytes.clone();
        Arrays.fill(broken, (byte) 0x5a);
        Files.write(file(".xd"), broken);
        assertThatThrownBy(() -> open().load()).isInstanceOf(IOException.class);
        Files.write(file(".xd"), bytes);
        Files.delete(file("current"));
        assertThatThrownBy(this::open).isInstanceOf(IOException.class);
    }

    @Test
    void goesOnAfterAWriteThatFailed() throws IOException {
        Store store = open();
        store.write(whole(1, item("a", 1, 3)));
        Path current = folder.resolve("copy/1");
        Path away = folder.resolve("away");
        Files.move(current, away);
        assertThatThrownBy(() -> store.write(whole(2, item("a", 2, 2_000_000))))
                .isInstanceOf(IOException.class);
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
