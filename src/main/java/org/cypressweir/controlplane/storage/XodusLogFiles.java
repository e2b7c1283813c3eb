package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** Operations on the log files of a Xodus environment that is not open, or need not be. */
final class XodusLogFiles {

    private static final String LOG_SUFFIX = ".xd";

    private XodusLogFiles() {}

    /** The size of all files of the directory. */
    static long sizeBytes(Path directory) throws IOException {
        long size = 0;
        for (String name : DurableDirectories.names(directory)) {
            size += Files.size(directory.resolve(name));
        }
        return size;
    }

    /**
     * Removes the last write of an environment that is not open. Truncating its last byte is enough: Xodus then
     * ignores this transaction and takes the one before it as the last one.
     */
    static void truncateLastWrite(Path directory) throws IOException {
        List<String> logs = DurableDirectories.names(directory).stream()
                .filter(name -> name.endsWith(LOG_SUFFIX))
                .toList();
        for (int i = logs.size() - 1; i >= 0; i--) {
            try (FileChannel log = FileChannel.open(directory.resolve(logs.get(i)), StandardOpenOption.WRITE)) {
                if (log.size() > 0) {
                    log.truncate(log.size() - 1);
                    log.force(true);
                    return;
                }
            }
        }
    }
}
