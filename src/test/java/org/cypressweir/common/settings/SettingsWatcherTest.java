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

/** Which settings a running process takes. */
class SettingsWatcherTest {

    private static final String FILE = "{'localNode':{'nodeName':'n1','ipAddress':'10.0.0.1','zone':'z1'},"
            + "'network':{'internalPortRange':[7000,7009]},'platform':{'heartbeat':'500ms'}}";

    @TempDir
    Path folder;

    private final List<Long> told = new ArrayList<>();
    private Path file;
    private long writes;

    private void write(String text) throws IOException {
        file = folder.resolve("node.json");
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
    void onlyItsOwnAndWholeOnesAreTaken(String text, String instead, boolean taken) throws IOException {
        for (boolean signalled : List.of(true, false)) {
            told.clear();
            write(FILE);
            SettingsWatcher watched = new SettingsWatcher(file);
            assertThat(watched.first().isRight()).isTrue();
            write(FILE.replace(text, instead));
            watched.look(signalled, next -> told.add(next.heartbeatMicros()));
            assertThat(told).hasSize(taken ? 1 : 0);
            write(FILE.replace("500ms", "900ms"));
            watched.look(signalled, next -> told.add(next.heartbeatMicros()));
            assertThat(told).endsWith(900_000L).hasSize(taken ? 2 : 1);
        }
    }

    @Test
    void withoutASignalOnlyAnotherTimeIsLookedAt() throws IOException {
        write(FILE);
        SettingsWatcher watched = new SettingsWatcher(file);
        watched.first();
        watched.look(false, next -> told.add(0L));
        watched.look(true, next -> told.add(0L));
        assertThat(told).isEmpty();
    }
}
