package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells a process whether another runs beside it, by a lock on a file in the folder that both have: the
 * kernel lets go of it when its holder ends, in whatever way.
 */
final class ProcessLock {

    /** The name is fixed: processes of earlier builds lock the same file. */
    private static final String LOCK_FILE = "larkbank.lock";

    private final FileChannel file;

    private ProcessLock(FileChannel file) {
        this.file = file;
    }

    /** In this folder; null where there is none that can be written to, and nobody can tell. */
    static ProcessLock in(String folder) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        try {
            return new ProcessLock(
                    FileChannel.open(Path.of(folder, LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE));
        } catch (IOException e) {
            return null;
        }
    }

    /** Whether no other has it; it is kept until the end then. */
    boolean alone() {
        try {
            return file.tryLock() != null;
        } catch (IOException e) {
            return true;
        }
    }

    /** Runs this, on a thread of its own, once the one that had it has ended. */
    void whenAlone(Runnable task) {
        Thread waiting = new Thread(
                () -> {
                    try {
                        file.lock();
                        task.run();
                    } catch (IOException e) {
                        // The bounds of a process beside another are safe bounds, too.
                        return;
                    }
                },
                "beside");
        waiting.setDaemon(true);
        waiting.start();
    }
}
