package org.cypressweir.dataplane.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.cypressweir.testkit.MeshSoak;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Soak tests of a mesh of processes, one for each seed. CI runs two short ones; longer runs take {@code -Dsoak.seeds},
 * {@code -Dsoak.first}, {@code -Dsoak.seconds} and {@code -Dsoak.proxies}. With an odd seed
 * nothing is killed, partitioned or suspended.
 */
class MeshSoakTest {

    private static final long FIRST_SEED = Long.getLong("soak.first", 1);
    private static final long SEEDS = Long.getLong("soak.seeds", 2);
    private static final long SECONDS = Long.getLong("soak.seconds", 20);
    private static final int PROXIES = Integer.getInteger("soak.proxies", 3);

    @TempDir
    Path folder;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void nothingIsLostOrRunTwice(long seed) throws IOException, InterruptedException {
        try (MeshSoak soak = new MeshSoak(folder, seed, PROXIES, seed % 2 == 1)) {
            List<String> violations = violations(soak);
            System.out.println("soak seed " + seed + ": " + soak.summary() + ", " + violations.size() + " violations");
            if (!violations.isEmpty()) {
                Files.writeString(Path.of("target", "soak-" + seed + ".log"), violations + "\n" + soak.report());
            }
            assertThat(violations).isEmpty();
        }
    }

    private static List<String> violations(MeshSoak soak) throws IOException, InterruptedException {
        try {
            soak.run(SECONDS);
            return soak.violations();
        } catch (AssertionError e) {
            // A condition that the soak test waits for was not met in time.
            return List.of(e.getMessage().lines().findFirst().orElse(""));
        }
    }
}
