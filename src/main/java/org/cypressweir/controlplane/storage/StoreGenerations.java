package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The numbered directories of a store, and the small file that names the current one. Compaction writes the
 * next directory and then replaces that file, which switches atomically. Keeps no state in memory.
 */
final class StoreGenerations {

    /** No directory is current yet: power was lost after the store was created and before its first one was ready. */
    static final long NONE = 0;

    static final long FIRST = 1;

    private static final String CURRENT_FILE = "current";
    private static final String DIRECTORY_PATTERN = "\\d+";

    private final Path root;
    private final Path currentFile;
    private final DurableDirectories directories;

    StoreGenerations(Path root, DurableDirectories directories) {
        this.root = root;
        this.directories = directories;
        currentFile = root.resolve(CURRENT_FILE);
    }

    Path directory(long generation) {
        return root.resolve(Long.toString(generation));
    }

    /**
     * The generation in use, or {@link #NONE}.
     *
     * @param hasWrites whether writes were acknowledged, so that the file must exist
     */
    long readCurrent(boolean hasWrites) throws IOException {
        if (!Files.exists(currentFile)) {
            if (hasWrites || anyDirectory()) {
                throw new CorruptStoreException(currentFile, "file is missing", null);
            }
            writeCurrent(NONE);
        }
        try {
            String text = Files.readString(currentFile, StandardCharsets.ISO_8859_1);
            return Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            throw new CorruptStoreException(currentFile, "not a generation number", e);
        }
    }

    /** Makes a generation the current one, durably. */
    void writeCurrent(long generation) throws IOException {
        directories.replace(currentFile, generation + "\n");
    }

    void deleteAllExcept(long generation) throws IOException {
        String kept = Long.toString(generation);
        for (String name : DurableDirectories.names(root)) {
            if (name.matches(DIRECTORY_PATTERN) && !name.equals(kept)) {
                directories.delete(root.resolve(name));
            }
        }
    }

    private boolean anyDirectory() throws IOException {
        return DurableDirectories.names(root).stream().anyMatch(name -> name.matches(DIRECTORY_PATTERN));
    }
}
