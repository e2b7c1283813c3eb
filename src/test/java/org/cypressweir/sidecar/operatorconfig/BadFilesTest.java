package org.cypressweir.sidecar.operatorconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.cypressweir.testkit.Installations;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A corpus of invalid files, each with a file of the expected problems. */
class BadFilesTest {

    private static Path corpus() throws URISyntaxException {
        return Path.of(BadFilesTest.class.getResource("/operators/bad").toURI());
    }

    static List<Path> files() throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(corpus())) {
            return files.filter(f -> f.toString().endsWith(".toml")).sorted().toList();
        }
    }

    @ParameterizedTest
    @MethodSource("files")
    void reportsEachReasonWithItsLine(Path file) throws IOException {
        Path expected = Path.of(file.toString().replace(".toml", ".expected"));
        InvalidFileException refused = assertThrows(
                InvalidFileException.class,
                () -> Operators.load(file.getFileName().toString(), Files.readString(file), Installations.facts()));
        assertEquals(Files.readString(expected).strip(), refused.getMessage());
    }

    @Test
    void corpusIsComplete() throws Exception {
        assertTrue(files().size() >= 60, "only " + files().size());
    }
}
