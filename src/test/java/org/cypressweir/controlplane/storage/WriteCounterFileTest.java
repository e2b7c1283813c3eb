package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A counter file that a loss of power left incomplete is read as 0, never as a count that was not written. */
class WriteCounterFileTest {

    @TempDir
    Path temporary;

    private byte[] contentOf(long writeCount) throws Exception {
        Path file = temporary.resolve("counter" + writeCount);
        try (WriteCounterFile counter = new WriteCounterFile(file)) {
            counter.store(writeCount);
        }
        return Files.readAllBytes(file);
    }

    @Test
    void incompleteCountReadsAsZero() throws Exception {
        byte[] before = contentOf(99);
        byte[] after = contentOf(100);
        Path incomplete = temporary.resolve("incomplete");
        for (int first = 0; first <= after.length; first++) {
            for (int last = first; last <= after.length; last++) {
                byte[] mixed = before.clone();
                System.arraycopy(after, first, mixed, first, last - first);
                Files.write(incomplete, mixed);
                try (WriteCounterFile counter = new WriteCounterFile(incomplete)) {
                    long expected = Arrays.equals(mixed, after) ? 100 : Arrays.equals(mixed, before) ? 99 : 0;
                    assertThat(counter.writeCount())
                            .as("new from %d to %d", first, last)
                            .isEqualTo(expected);
                }
            }
        }
    }
}
