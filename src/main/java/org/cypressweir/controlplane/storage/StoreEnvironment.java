package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import jetbrains.exodus.ExodusException;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * One directory with an open Xodus environment. A write is one durable transaction with a checksum of the
 * state after it. Not thread-safe; after a failed write the environment must be closed and opened anew.
 */
final class StoreEnvironment implements AutoCloseable {

    private static final int CACHE_PAGE_BYTES = 16 * 1024;
    private static final long CACHE_BYTES = 8L << 20;

    private final Path directory;
    private final DurableDirectories directories;
    private final Environment environment;
    private final StateRecords records;
    /** The files whose directory entries are durable. */
    private Set<String> syncedFiles;

    private long transactionsSinceOpen;
    private WriteChecksum checksum = WriteChecksum.NONE;

    /**
     * Opens the environment, and creates it if the directory does not exist.
     *
     * @param logFileKib the size of one Xodus log file
     * @throws TornWriteException where it can be opened, but its content does not match its checksum
     * @throws CorruptStoreException where its files can be read, but it cannot be opened
     * @throws IOException where the disk fails
     */
    StoreEnvironment(Path directory, int logFileKib, DurableDirectories directories) throws IOException {
        this.directory = directory;
        this.directories = directories;
        Files.createDirectories(directory);
        environment = open(directory, logFileKib);
        records = new StateRecords(environment);
        directories.sync(directory);
        syncedFiles = DurableDirectories.names(directory);
        try {
            load();
        } catch (TornWriteException e) {
            close();
            throw e;
        }
    }

    private static Environment open(Path directory, int logFileKib) throws IOException {
        try {
            return Environments.newInstance(directory.toFile(), config(logFileKib));
        } catch (RuntimeException | Error e) {
            // Xodus reports damage by unchecked exceptions of many types.
            String problem = "cannot open environment: " + e.getMessage();
            if (e instanceof Error || isReadFailure(e)) {
                throw new IOException(directory + ": " + problem, e);
            }
            throw new CorruptStoreException(directory, problem, e);
        }
    }

    private static EnvironmentConfig config(int logFileKib) {
        EnvironmentConfig config = new EnvironmentConfig();
        // Syncs each transaction before it returns; the durability of acknowledged changes depends on it.
        config.setLogDurableWrite(true);
        config.setLogFileSize(logFileKib);
        config.setLogCachePageSize(CACHE_PAGE_BYTES);
        config.setMemoryUsage(CACHE_BYTES);
        // Memory-mapped log files would crash the process when their directory is emptied or their disk fails.
        config.setLogCacheUseNio(false);
        config.setLogCacheShared(false);
        config.setLogClearInvalid(false);
        config.setManagementEnabled(false);
        config.setEnvGatherStatistics(false);
        config.setEnvCloseForcedly(true);
        // Obsolete records are dropped with the directory when the store is compacted into a new one.
        config.setGcEnabled(false);
        return config;
    }

    /** Whether a read of the disk failed, which says nothing about its content. */
    private static boolean isReadFailure(Throwable e) {
        return e instanceof ExodusException && (e.getCause() instanceof IOException || isReadFailure(e.getCause()));
    }

    /** The number of all writes to the store, including those to earlier generations. */
    long writeCount() {
        return checksum.writeCount();
    }

    /** The size of all its files. */
    long sizeBytes() throws IOException {
        return XodusLogFiles.sizeBytes(directory);
    }

    long transactionsSinceOpen() {
        return transactionsSinceOpen;
    }

    /** Reads and verifies the state; returns null where nothing was written yet. */
    PersistentState load() throws IOException {
        StateRecords.VerifiedState[] found = new StateRecords.VerifiedState[1];
        try {
            environment.executeInReadonlyTransaction(transaction -> found[0] = records.read(transaction));
        } catch (RuntimeException e) {
            if (isReadFailure(e)) {
                throw new IOException(e.getMessage(), e);
            }
            throw new TornWriteException(directory, e);
        } catch (Error e) {
            throw new IOException(e.getMessage(), e);
        }
        if (found[0] == null) {
            return null;
        }
        checksum = found[0].checksum();
        return found[0].state();
    }

    void write(StorageUpdate update) throws IOException {
        write(update, update.learnedSecondHand());
    }

    /**
     * Writes a complete state into an environment that was just created.
     *
     * @param writeCount the number of writes to earlier generations
     */
    void writeAll(PersistentState state, long writeCount) throws IOException {
        checksum = new WriteChecksum(writeCount, 0);
        StorageUpdate update = new StorageUpdate(
                state.promised(), state.accepted(), state.voters(), state.items(), true, state.disk());
        write(update, state.learnedSecondHand());
    }

    private void write(StorageUpdate update, boolean secondHand) throws IOException {
        WriteChecksum[] written = new WriteChecksum[1];
        runChecked(() -> environment.executeInExclusiveTransaction(
                transaction -> written[0] = records.write(update, secondHand, checksum, transaction)));
        transactionsSinceOpen++;
        checksum = written[0];
        syncNewFiles();
    }

    /** Makes the entries of new log files durable: Xodus syncs the content of its files, not their directory. */
    private void syncNewFiles() throws IOException {
        Set<String> present = DurableDirectories.names(directory);
        if (!present.containsAll(syncedFiles)) {
            throw new IOException(directory + ": log files are missing");
        }
        if (!syncedFiles.containsAll(present)) {
            directories.sync(directory);
        }
        syncedFiles = present;
    }

    /** Turns the unchecked exceptions and errors by which Xodus reports a failed disk into an IOException. */
    private static void runChecked(Runnable work) throws IOException {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    @Override
    public void close() throws IOException {
        runChecked(environment::close);
    }
}
