package org.cypressweir.sidecar.operatorconfig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.SplittableRandom;
import org.cypressweir.testkit.Installations;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Any sequence of bytes is accepted, or rejected within a short time with one line per reason. */
@Timeout(60)
class TextLimitsTest {

    /** The value of 'x', and the line on which it nests too deep; 0 for none. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[ * 200000 | 1",
                "{a= * 200000 | 1",
                "[[]] * 100000 | 0",
                "[\\n * 40 | 33",
                "a. * 200000 | 1",
                "'[' * 100 | 0",
                "\"[\" * 100 | 0",
                "\"\\\\\"[\" * 100 | 0",
                "'''[\\n''' * 100 | 0",
                "\"\"\"[\\\"\"\"\"\\n * 100 | 0",
                "#[[[[[\\n * 100 | 0",
                "'[\\n * 100 | 0",
                "\\n[a.b] * 100 | 0",
            })
    void detectsExcessiveNesting(String piece, int line) {
        String[] parts = piece.split(" \\* ");
        String text =
                "x = " + parts[0].replace("\\\\", "\\").replace("\\n", "\n").repeat(Integer.parseInt(parts[1].trim()));
        Problems problems = new Problems("f");
        assertEquals(line == 0, TextLimits.fits(text, problems));
        assertEquals(
                line == 0 ? "[]" : "[f:" + line + ": lists, tables or keys nested more than 32 deep]",
                problems.sorted().toString());
    }

    @Test
    void oversizedFileIsOneProblem() {
        Problems problems = new Problems("f");
        assertFalse(TextLimits.fits("#".repeat(TextLimits.MAX_CHARACTERS + 1), problems));
        assertEquals(1, problems.sorted().size());
    }

    private static void assertAcceptedOrRejected(Path file, String description) {
        for (boolean assumed : new boolean[] {false, true}) {
            try {
                Operators.load(
                        file,
                        assumed
                                ? AssumedFacts.of(Files.readString(file, StandardCharsets.ISO_8859_1))
                                : Installations.stationFinder());
            } catch (InvalidFileException e) {
                e.getMessage()
                        .lines()
                        .forEach(l -> assertTrue(l.matches(".*f\\.toml:\\d+: .+"), description + ": " + l));
                assertEquals(e.problems().size(), e.getMessage().lines().count(), description);
                assertTrue(e.problems().size() <= Problems.MAX_REPORTED + 1, description);
            } catch (Exception | Error e) {
                throw new AssertionError(description, e);
            }
        }
    }

    /** Random mutations of the example: bytes changed, repeated, deleted and nested. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void mutatedFilesAreAcceptedOrRejected(long seed, @TempDir Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        byte[] good = Files.readAllBytes(Path.of("deploy/operators.example.toml"));
        byte[] odd = "[]{}\"'=.,#\\\n\0\u00ff-0e".getBytes(StandardCharsets.ISO_8859_1);
        Path file = folder.resolve("f.toml");
        for (int i = 0; i < 60; i++) {
            StringBuilder text = new StringBuilder(new String(good, StandardCharsets.ISO_8859_1));
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                int at = random.nextInt(text.length() - 40);
                int end = at + 1 + random.nextInt(30);
                String piece = text.substring(at, end);
                char one = (char) (odd[random.nextInt(odd.length)] & 0xff);
                switch (random.nextInt(5)) {
                    case 0 -> text.setCharAt(at, one);
                    case 1 -> text.insert(at, String.valueOf(one).repeat(1 + random.nextInt(3_000)));
                    case 2 -> text.delete(at, end);
                    case 3 -> text.insert(at, piece.repeat(1 + random.nextInt(50)));
                    default -> text.replace(at, end, text.substring(end, end + 5));
                }
            }
            Files.write(file, text.toString().getBytes(StandardCharsets.ISO_8859_1));
            assertAcceptedOrRejected(file, "seed " + seed + ", file " + i);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void randomBytesAreAcceptedOrRejected(long seed, @TempDir Path folder) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Path file = folder.resolve("f.toml");
        for (int i = 0; i < 40; i++) {
            byte[] bytes = new byte[random.nextInt(400)];
            random.nextBytes(bytes);
            if (i % 2 == 0) {
                for (int k = 0; k < bytes.length; k++) {
                    bytes[k] = (byte) (" \n[]{}=.\"'#ax1".charAt(bytes[k] & 13));
                }
            }
            Files.write(file, bytes);
            assertAcceptedOrRejected(file, "seed " + seed + ", file " + i);
        }
    }
}
