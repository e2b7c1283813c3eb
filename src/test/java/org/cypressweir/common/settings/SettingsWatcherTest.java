package org.cypressweir.common.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which changed settings files a running process accepts. */
class SettingsWatcherTest {

    private static final String FILE = "{'localNode':{'nodeName':'n1','ipAddress':'10.0.0.1','zone':'z1'},"
            + "'network':{'internalPortRange':[7000,7009]},'platform':{'heartbeat':'500ms'}}";

    @TempDir
    Path directory;

    private final List<Long> reloaded = new ArrayList<>();
    private Path file;
    private long writes;

    private void write(String text) throws IOException {
        file = directory.resolve("node.json");
        Files.writeString(file, text.replace('\'', '"'));
        Files.setLastModifiedTime(file, FileTime.fromMillis(++writes * 1_000));
    }

    @ParameterizedTest
    @CsvSource({
        "n1, n2, false",
        "10.0.0.1, 10.0.0.2, false",
        "'[7000,', '[7001,', false",
        "}}, }, false",
        "500ms, soon, false",
        "z1, z2, true",
        "500ms, 700ms, true"
    })
    void onlyValidSettingsOfTheSameNodeAreAccepted(String text, String replacement, boolean accepted)
            throws IOException {
        for (boolean force : List.of(true, false)) {
            reloaded.clear();
            write(FILE);
            SettingsWatcher watcher = new SettingsWatcher(file);
            assertThat(watcher.load().isRight()).isTrue();
            write(FILE.replace(text, replacement));
            watcher.poll(force, next -> reloaded.add(next.heartbeatMicros()));
            assertThat(reloaded).hasSize(accepted ? 1 : 0);
            write(FILE.replace("500ms", "900ms"));
            watcher.poll(force, next -> reloaded.add(next.heartbeatMicros()));
            assertThat(reloaded).endsWith(900_000L).hasSize(accepted ? 2 : 1);
        }
    }

    @Test
    void unforcedPollIgnoresAFileWithTheSameModificationTime() throws IOException {
        write(FILE);
        SettingsWatcher watcher = new SettingsWatcher(file);
        watcher.load();
        watcher.poll(false, next -> reloaded.add(0L));
        watcher.poll(true, next -> reloaded.add(0L));
        assertThat(reloaded).isEmpty();
    }
}
