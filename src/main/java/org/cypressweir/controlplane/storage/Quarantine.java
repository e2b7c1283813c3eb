package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * Where a damaged folder's files go, within the folder itself, for an operator to look at. A few are kept
 * as long as they are small; a mark that there was one stays.
 */
final class Quarantine {

    private static final String MARK = "damaged";
    private static final String ASIDE = "aside-";
    private static final int MOST = 2;
    private static final long MOST_BYTES = 64L << 20;

    private final Path folder;
    private final DurableDirectories folders;

    Quarantine(Path folder, DurableDirectories folders) {
        this.folder = folder;
        this.folders = folders;
    }

    boolean ever() {
        return Files.exists(folder.resolve(MARK));
    }

    /** Fails where the disk does not read all that is there, or takes no write. */
    void prove() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                try (InputStream in = Files.newInputStream(file)) {
                    in.transferTo(OutputStream.nullOutputStream());
                }
            }
        }
        folders.replace(folder.resolve("probe"), "probe\n");
        Files.delete(folder.resolve("probe"));
    }

    /** Sets all aside. Where power is lost on the way, what is left is damaged and goes next. */
    void take(String why) throws IOException {
        folders.replace(folder.resolve(MARK), why + "\n");
        Deque<String> before = kept();
        Path next = folder.resolve(ASIDE + (before.isEmpty() ? 1 : number(before.getLast()) + 1));
        Files.createDirectory(next);
        folders.sync(folder);
        for (String name : DurableDirectories.names(folder)) {
            if (!name.equals(MARK) && !name.startsWith(ASIDE)) {
                folders.move(folder.resolve(name), next.resolve(name));
            }
        }
        folders.sync(next);
        folders.sync(folder);
    }

    /** The oldest go. */
    void bound() throws IOException {
        Deque<String> kept = kept();
        long bytes = 0;
        for (String name : kept) {
            bytes += size(name);
        }
        while (kept.size() > MOST || bytes > MOST_BYTES) {
            String oldest = kept.poll();
            bytes -= size(oldest);
            folders.delete(folder.resolve(oldest));
        }
    }

    private Deque<String> kept() throws IOException {
        return new ArrayDeque<>(DurableDirectories.names(folder).stream()
                .filter(n -> n.matches(ASIDE + "\\d{1,9}"))
                .sorted((a, b) -> Long.compare(number(a), number(b)))
                .toList());
    }

    private static long number(String name) {
        return Long.parseLong(name.substring(ASIDE.length()));
    }

    private long size(String name) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve(name))) {
            long size = 0;
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                size += Files.size(file);
            }
            return size;
        }
    }
}
