package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * A store on disk, in Xodus environments below one directory. Xodus only appends; once its files have grown
 * large, the state is compacted into the next generation's directory, which then becomes the current one.
 * Compaction runs within a write; there are no background threads. Not thread-safe.
 *
 * <p>Opening it recovers all writes that were acknowledged. A last write that a loss of power left incomplete was
 * not acknowledged and is removed. Where more is missing, the files are quarantined, the store begins empty, and
 * {@link #damaged} is true from then on. Failed reads or writes are not damage: opening fails with
 * an {@link IOException}, and may be tried again.
 */
public final class XodusStore implements Store {

    private static final long COMPACTION_BYTES = 12L << 20;
    /** An item must fit into one log file. A file takes only the space of what is written to it. */
    private static final int LOG_FILE_KIB = 64 * 1024;

    private static final int WRITES_PER_SIZE_CHECK = 16;
    /** A store with a large state is compacted once its files have grown to this many times the size of the state. */
    private static final int COMPACTION_GROWTH = 4;
    /** An environment that is larger than this has been written to. */
    private static final int EMPTY_ENVIRONMENT_BYTES = 64 << 10;

    private static final String COUNTER_FILE = "written";

    private final Path root;
    private final DurableDirectories directories;
    private final StoreGenerations generations;
    private final Quarantine quarantine;
    private final Optional<String> quarantineReason;
    private final long minCompactionBytes;
    private final int logFileKib;

    private long generation;
    private long compactionBytes;
    /** Null while closed, or after a failed write. */
    private StoreEnvironment environment;

    private WriteCounterFile counterFile;
    /** Whether an incomplete write was removed since the last successful one; at most one can be in flight. */
    private boolean incompleteWriteRemoved;
    /** The number of acknowledged writes, as far as this process knows. */
    private long acknowledgedWrites;

    public XodusStore(Path root) throws IOException {
        this(root, COMPACTION_BYTES);
    }

    XodusStore(Path root, long minCompactionBytes) throws IOException {
        this(root, minCompactionBytes, LOG_FILE_KIB, new DurableDirectories());
    }

    XodusStore(Path root, long minCompactionBytes, int logFileKib, DurableDirectories directories) throws IOException {
        this.root = root;
        this.directories = directories;
        this.minCompactionBytes = minCompactionBytes;
        this.logFileKib = logFileKib;
        compactionBytes = minCompactionBytes;
        generations = new StoreGenerations(root, directories);
        quarantine = new Quarantine(root, directories);
        if (!Files.exists(root)) {
            Files.createDirectories(root);
            directories.sync(root.toAbsolutePath().getParent());
        }
        quarantineReason = openOrQuarantine();
        quarantine.deleteExcess();
    }

    /**
     * Opens the store, and quarantines its files where they are damaged. Damage has to be found twice, and the disk
     * to pass a check of reads and writes in between.
     */
    private Optional<String> openOrQuarantine() throws IOException {
        try {
            open();
            return Optional.empty();
        } catch (CorruptStoreException first) {
            quarantine.checkDisk();
        }
        try {
            open();
            return Optional.empty();
        } catch (CorruptStoreException second) {
            quarantine.moveAll(second.getMessage());
            open();
            return Optional.of(second.getMessage());
        }
    }

    /** What was wrong with the files that were quarantined when this store was opened; empty if none were. */
    public Optional<String> quarantineReason() {
        return quarantineReason;
    }

    /** Whether files of this store were ever quarantined; if so, it may be empty although state was written. */
    public boolean damaged() {
        return quarantine.wasEverUsed();
    }

    private void open() throws IOException {
        long current = generations.readCurrent(acknowledgedWrites > 0);
        try {
            counterFile = new WriteCounterFile(root.resolve(COUNTER_FILE));
            // A file that was renamed just before the last process ended may not have a durable entry yet.
            directories.sync(root);
            environment = current == StoreGenerations.NONE ? createFirstGeneration() : openGeneration(current);
            generation = Math.max(current, StoreGenerations.FIRST);
            checkWriteCount();
            generations.deleteAllExcept(generation);
        } catch (IOException e) {
            closeAfterFailure();
            throw e;
        }
    }

    private void checkWriteCount() throws IOException {
        long expected = Math.max(acknowledgedWrites, counterFile.writeCount());
        if (environment.writeCount() < expected) {
            String problem = "acknowledged writes are lost: last=" + environment.writeCount() + " expected=" + expected;
            throw new CorruptStoreException(root, problem, null);
        }
    }

    private StoreEnvironment createFirstGeneration() throws IOException {
        Path directory = generations.directory(StoreGenerations.FIRST);
        StoreEnvironment first = openUnusedEnvironment(directory);
        if (first.load() != null) {
            first.close();
            throw new CorruptStoreException(root, "a generation exists, but none is named as current", null);
        }
        directories.sync(root); // Before its name is written.
        generations.writeCurrent(StoreGenerations.FIRST);
        return first;
    }

    private StoreEnvironment openUnusedEnvironment(Path directory) throws IOException {
        try {
            return new StoreEnvironment(directory, logFileKib, directories);
        } catch (CorruptStoreException e) {
            if (counterFile.writeCount() > 0 || XodusLogFiles.sizeBytes(directory) > EMPTY_ENVIRONMENT_BYTES) {
                throw e;
            }
            // Power was lost while it was created: nothing was ever written to it.
            directories.delete(directory);
            return new StoreEnvironment(directory, logFileKib, directories);
        }
    }

    private StoreEnvironment openGeneration(long number) throws IOException {
        Path directory = generations.directory(number);
        if (!Files.isDirectory(directory)) {
            throw new CorruptStoreException(directory, "directory is missing", null);
        }
        try {
            return new StoreEnvironment(directory, logFileKib, directories);
        } catch (TornWriteException e) {
            if (incompleteWriteRemoved) {
                throw e;
            }
            incompleteWriteRemoved = true;
            XodusLogFiles.truncateLastWrite(directory);
            return new StoreEnvironment(directory, logFileKib, directories);
        }
    }

    private void openIfClosed() throws IOException {
        if (environment == null) {
            open();
        }
    }

    @Override
    public Optional<PersistentState> load() throws IOException {
        openIfClosed();
        return Optional.ofNullable(environment.load());
    }

    @Override
    public void write(StorageUpdate update) throws IOException {
        try {
            openIfClosed();
            if (needsCompaction(update)) {
                compact(update);
            } else {
                environment.write(update);
            }
            incompleteWriteRemoved = false;
            acknowledgedWrites = environment.writeCount();
            counterFile.store(acknowledgedWrites);
        } catch (IOException e) {
            closeAfterFailure();
            throw e;
        }
    }

    private boolean needsCompaction(StorageUpdate update) throws IOException {
        long position = environment.transactionsSinceOpen() % WRITES_PER_SIZE_CHECK;
        boolean checkSize = update.fullSnapshot() || position == WRITES_PER_SIZE_CHECK - 1;
        return checkSize && environment.sizeBytes() > compactionBytes;
    }

    /** Writes the complete state after the update into the next generation, and makes that the current one. */
    private void compact(StorageUpdate update) throws IOException {
        PersistentState state = update.appliedTo(environment.load());
        long nextGeneration = generation + 1;
        StoreEnvironment next = createGeneration(nextGeneration, state);
        StoreEnvironment previous = environment;
        environment = next;
        generation = nextGeneration;
        compactionBytes = Math.max(minCompactionBytes, COMPACTION_GROWTH * next.sizeBytes());
        try {
            previous.close();
            generations.deleteAllExcept(generation);
        } catch (IOException e) {
            // The state is written; the remaining files are deleted when the store is opened next.
        }
    }

    private StoreEnvironment createGeneration(long number, PersistentState state) throws IOException {
        Path directory = generations.directory(number);
        directories.delete(directory);
        StoreEnvironment created = new StoreEnvironment(directory, logFileKib, directories);
        try {
            created.writeAll(state, environment.writeCount());
            directories.sync(root);
            generations.writeCurrent(number);
            return created;
        } catch (IOException e) {
            try {
                created.close();
            } catch (IOException suppressed) {
                e.addSuppressed(suppressed);
            }
            throw e;
        }
    }

    private void closeAfterFailure() {
        try {
            close();
        } catch (IOException e) {
            // The store has failed already; the next call opens it anew, and throws if that fails too.
            environment = null;
            counterFile = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (counterFile != null) {
            counterFile.close();
            counterFile = null;
        }
        if (environment != null) {
            StoreEnvironment toClose = environment;
            environment = null;
            toClose.close();
        }
    }
}
