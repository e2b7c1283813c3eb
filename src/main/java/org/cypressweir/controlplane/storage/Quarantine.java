package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * Moves the files of a damaged store into a numbered subdirectory, for an operator to inspect. Only the newest
 * subdirectories are kept, within limits of number and size; a marker file records for good that there was damage.
 */
final class Quarantine {

    private static final String MARKER_FILE = "damaged";
    /** Fixed: the subdirectories that earlier builds created have this prefix. */
    private static final String DIRECTORY_PREFIX = "aside-";

    private static final String DIRECTORY_PATTERN = DIRECTORY_PREFIX + "\\d{1,9}";
    private static final String WRITE_CHECK_FILE = "probe";
    private static final int MAX_DIRECTORIES = 2;
    private static final long MAX_BYTES = 64L << 20;

    private final Path root;
    private final DurableDirectories directories;

    Quarantine(Path root, DurableDirectories directories) {
        this.root = root;
        this.directories = directories;
    }

    /** Whether this store was ever found damaged. */
    boolean wasEverUsed() {
        return Files.exists(root.resolve(MARKER_FILE));
    }

    /** Checks that the disk works: reads all files and writes a small one, and throws if either fails. */
    void checkDisk() throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                try (InputStream in = Files.newInputStream(file)) {
                    in.transferTo(OutputStream.nullOutputStream());
                }
            }
        }
        Path writeCheck = root.resolve(WRITE_CHECK_FILE);
        directories.replace(writeCheck, WRITE_CHECK_FILE + "\n");
        Files.delete(writeCheck);
    }

    /**
     * Moves all files of the store into a new subdirectory. If power is lost midway, the remaining files are
     * found damaged as well, and are moved when the store is opened next.
     */
    void moveAll(String reason) throws IOException {
        directories.replace(root.resolve(MARKER_FILE), reason + "\n");
        Path target = root.resolve(DIRECTORY_PREFIX + nextNumber());
        Files.createDirectory(target);
        directories.sync(root);
        for (String name : DurableDirectories.names(root)) {
            if (!name.equals(MARKER_FILE) && !name.startsWith(DIRECTORY_PREFIX)) {
                directories.move(root.resolve(name), target.resolve(name));
            }
        }
        directories.sync(target);
        directories.sync(root);
    }

    /** Deletes the oldest subdirectories until number and size are within their limits. */
    void deleteExcess() throws IOException {
        Deque<String> kept = subdirectories();
        long totalBytes = 0;
        for (String name : kept) {
            totalBytes += sizeBytes(name);
        }
        while (kept.size() > MAX_DIRECTORIES || totalBytes > MAX_BYTES) {
            String oldest = kept.poll();
            totalBytes -= sizeBytes(oldest);
            directories.delete(root.resolve(oldest));
        }
    }

    private long nextNumber() throws IOException {
        Deque<String> existing = subdirectories();
        return existing.isEmpty() ? 1 : number(existing.getLast()) + 1;
    }

    /** The names of the subdirectories, the oldest first. */
    private Deque<String> subdirectories() throws IOException {
        return new ArrayDeque<>(DurableDirectories.names(root).stream()
                .filter(name -> name.matches(DIRECTORY_PATTERN))
                .sorted(Comparator.comparingLong(Quarantine::number))
                .toList());
    }

    private static long number(String name) {
        return Long.parseLong(name.substring(DIRECTORY_PREFIX.length()));
    }

    private long sizeBytes(String name) throws IOException {
        try (Stream<Path> files = Files.walk(root.resolve(name))) {
            long size = 0;
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                size += Files.size(file);
            }
            return size;
        }
    }
}
