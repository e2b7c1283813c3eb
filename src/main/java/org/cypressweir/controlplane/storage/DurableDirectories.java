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

/** What a folder needs so that its files outlast a loss of power. */
class DurableDirectories {

    /** Makes the folder's entries durable: a file lasts only once its entry does. */
    void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    static Set<String> names(Path folder) throws IOException {
        Set<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.forEach(f -> names.add(f.getFileName().toString()));
        }
        return names;
    }

    /** Puts a small file in place of another, durably and at once. */
    void replace(Path file, String text) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        force(next);
        move(next, file);
        sync(file.toAbsolutePath().getParent());
    }

    void force(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    void move(Path file, Path to) throws IOException {
        Files.move(file, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    void delete(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            for (String name : names(folder)) {
                delete(folder.resolve(name));
            }
        }
        Files.deleteIfExists(folder);
    }
}
