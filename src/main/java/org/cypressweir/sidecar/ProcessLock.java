package org.cypressweir.sidecar;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Detects whether another process runs beside this one, by a lock on a file in a folder that both use. The kernel
 * releases the lock when its holder ends, however that happens.
 */
final class ProcessLock {

    /** The name is fixed: processes of earlier builds lock the same file. */
    private static final String LOCK_FILE = "larkbank.lock";

    private final FileChannel file;

    private ProcessLock(FileChannel file) {
        this.file = file;
    }

    /**
     * Opens the lock file in this folder; null if the folder is missing or not writable, so that no other process can
     * be detected.
     */
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

    /**
     * Whether no other process holds the lock; this process then keeps it until it ends. True also if the attempt
     * fails.
     */
    boolean tryAcquire() {
        try {
            return file.tryLock() != null;
        } catch (IOException e) {
            return true;
        }
    }

    /** Runs the task on a thread of its own once the current holder has ended. */
    void runWhenAcquired(Runnable task) {
        Thread waiting = new Thread(
                () -> {
                    try {
                        file.lock();
                        task.run();
                    } catch (IOException e) {
                        // The reduced limits of a process beside another remain in force, which is safe.
                        return;
                    }
                },
                "beside");
        waiting.setDaemon(true);
        waiting.start();
    }
}
