package org.cypressweir.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** Reads files under {@code src/test/resources/golden}, which an earlier build wrote. */
public final class Golden {

    private static final String ROOT = "/golden/";

    private Golden() {}

    /** The text of a golden file. */
    public static String text(String name) {
        try (InputStream in = Golden.class.getResourceAsStream(ROOT + name)) {
            if (in == null) {
                throw new AssertionError("no golden file " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Compares lines with a golden file, byte by byte. */
    public static void assertSame(String name, List<String> lines) {
        assertThat(String.join("\n", lines) + "\n").isEqualTo(text(name));
    }

    /** The path of a golden file or directory. */
    public static Path path(String name) {
        try {
            return Path.of(Golden.class.getResource(ROOT + name).toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
