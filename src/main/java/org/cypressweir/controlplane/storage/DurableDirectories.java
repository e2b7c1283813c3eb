package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * File system operations whose results have to survive a loss of power: a file's content needs a sync of the file,
 * its name a sync of the directory. Stateless; tests override single methods to inject faults.
 */
class DurableDirectories {

    private static final String REPLACEMENT_SUFFIX = ".next";

    /** Makes the directory's entries durable; without its entry a file is lost, even if its content was synced. */
    void sync(Path directory) throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** The names of the directory's entries, sorted. */
    static Set<String> names(Path directory) throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.list(directory)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        return names;
    }

    /** Replaces a small file's content atomically and durably. */
    void replace(Path file, String text) throws IOException {
        Path replacement = file.resolveSibling(file.getFileName() + REPLACEMENT_SUFFIX);
        Files.writeString(replacement, text);
        force(replacement);
        move(replacement, file);
        sync(file.toAbsolutePath().getParent());
    }

    /** Makes the file's content durable. */
    void force(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    /** Renames atomically; the new name is durable only after a sync of its directory. */
    void move(Path file, Path target) throws IOException {
        Files.move(file, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Deletes a file, or a directory with all its content, if it exists. */
    void delete(Path path) throws IOException {
        if (Files.isDirectory(path)) {
            for (String name : names(path)) {
                delete(path.resolve(name));
            }
        }
        Files.deleteIfExists(path);
    }
}
