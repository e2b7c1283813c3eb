package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A witness that a loss of power has torn tells nothing, and never a number that was not written. */
class WriteCounterFileTest {

    @TempDir
    Path folder;

    private byte[] at(long number) throws Exception {
        Path file = folder.resolve("w" + number);
        try (WriteCounterFile witness = new WriteCounterFile(file)) {
            witness.saw(number);
        }
        return Files.readAllBytes(file);
    }

    @Test
    void aTornOneTellsNothing() throws Exception {
        byte[] before = at(99);
        byte[] after = at(100);
        Path torn = folder.resolve("torn");
        for (int first = 0; first <= after.length; first++) {
            for (int last = first; last <= after.length; last++) {
                byte[] mixed = before.clone();
                System.arraycopy(after, first, mixed, first, last - first);
                Files.write(torn, mixed);
                try (WriteCounterFile witness = new WriteCounterFile(torn)) {
                    long right = Arrays.equals(mixed, after) ? 100 : Arrays.equals(mixed, before) ? 99 : 0;
                    assertThat(witness.number())
                            .as("new from %d to %d", first, last)
                            .isEqualTo(right);
                }
            }
        }
    }
}
