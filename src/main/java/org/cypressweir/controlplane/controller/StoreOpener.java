package org.cypressweir.controlplane.controller;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.storage.XodusStore;
import org.jboss.logging.Logger;

/**
 * Opens the store on the disk executor and retries until it succeeds: a disk that is full, stalled or unreachable
 * need not stay so. The result is delivered on the event loop.
 */
final class StoreOpener {

    /**
     * An open store.
     *
     * @param state null if the store is empty
     */
    record OpenedStore(XodusStore store, PersistentState state) {}

    private static final Logger LOG = Logger.getLogger(StoreOpener.class);
    private static final int RETRY_MILLIS = 500;

    private final Path directory;
    private final ExecutorService diskExecutor;
    private final ScheduledExecutorService eventLoop;
    private final Consumer<OpenedStore> listener;
    /** Repetitions of the same error are not logged. Used by the disk executor only. */
    private String lastError;

    StoreOpener(
            Path directory,
            ExecutorService diskExecutor,
            ScheduledExecutorService eventLoop,
            Consumer<OpenedStore> listener) {
        this.directory = directory;
        this.diskExecutor = diskExecutor;
        this.eventLoop = eventLoop;
        this.listener = listener;
    }

    void start() {
        diskExecutor.execute(this::open);
    }

    private void open() {
        try {
            XodusStore store = new XodusStore(directory);
            store.quarantineReason()
                    .ifPresent(cause -> LOG.error("store damaged: its contents are quarantined and the state has to be"
                            + " learned from other replicas cause=\"" + cause + "\""));
            PersistentState state = store.load().orElse(null);
            eventLoop.execute(() -> listener.accept(new OpenedStore(store, state)));
        } catch (IOException | RuntimeException e) {
            // Xodus throws unchecked exceptions of its own for faults of the disk.
            logOnce(String.valueOf(e.getMessage()));
            eventLoop.schedule(this::start, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void logOnce(String error) {
        if (!error.equals(lastError)) {
            lastError = error;
            LOG.error("store cannot be opened, retrying error=\"" + error + "\"");
        }
    }
}
