package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.ExodusException;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/** One folder with a Xodus environment. A write is one transaction, and sealed. */
final class StoreEnvironment implements AutoCloseable {

    private static final String ITEMS = "items";
    private static final String TERMS = "terms";
    private static final ByteIterable PROMISED = bytes("promised");
    private static final ByteIterable ACCEPTED = bytes("accepted");
    private static final ByteIterable CREW = bytes("crew");
    private static final ByteIterable HEARSAY = bytes("hearsay");
    private static final ByteIterable DISK = bytes("disk");
    private static final ByteIterable SEAL = bytes("seal");

    private final Path folder;
    private final DurableDirectories folders;
    private final Environment environment;
    private Set<String> files;
    private long written;
    private WriteChecksum seal = WriteChecksum.NONE;

    /**
     * Opens the folder, made anew where it is not there.
     *
     * @throws TornWriteException where it can be opened, but does not hold what was written last
     * @throws CorruptStoreException where it can be read, but not opened
     */
    StoreEnvironment(Path folder, int fileKib, DurableDirectories folders) throws IOException {
        this.folder = folder;
        this.folders = folders;
        Files.createDirectories(folder);
        EnvironmentConfig config = new EnvironmentConfig();
        config.setLogDurableWrite(true);
        config.setLogFileSize(fileKib);
        config.setLogCachePageSize(16 * 1024);
        config.setMemoryUsage(8L << 20);
        // Mapped files end the process where their folder is emptied or their disk fails.
        config.setLogCacheUseNio(false);
        config.setLogCacheShared(false);
        config.setLogClearInvalid(false);
        config.setManagementEnabled(false);
        config.setEnvGatherStatistics(false);
        config.setEnvCloseForcedly(true);
        // What is no longer used goes with the whole folder when a new one is begun.
        config.setGcEnabled(false);
        try {
            environment = Environments.newInstance(folder.toFile(), config);
        } catch (RuntimeException | Error e) {
            String why = "cannot open " + folder + ": " + e.getMessage();
            throw e instanceof Error || byReading(e) ? new IOException(why, e) : new CorruptStoreException(why, e);
        }
        folders.sync(folder);
        files = DurableDirectories.names(folder);
        try {
            load();
        } catch (TornWriteException e) {
            close();
            throw e;
        }
    }

    /** Whether the disk refused, which tells nothing about what it holds. */
    private static boolean byReading(Throwable e) {
        return e instanceof ExodusException && (e.getCause() instanceof IOException || byReading(e.getCause()));
    }

    /** Cuts the last write off a folder that is not open: without its last byte, the one before it counts. */
    static void cut(Path folder) throws IOException {
        List<String> logs = DurableDirectories.names(folder).stream()
                .filter(n -> n.endsWith(".xd"))
                .toList();
        for (int i = logs.size() - 1; i >= 0; i--) {
            try (FileChannel log = FileChannel.open(folder.resolve(logs.get(i)), StandardOpenOption.WRITE)) {
                if (log.size() > 0) {
                    log.truncate(log.size() - 1);
                    log.force(true);
                    return;
                }
            }
        }
    }

    /** How many writes there have been, in folders before this one too. */
    long number() {
        return seal.number();
    }

    long size() throws IOException {
        return size(folder);
    }

    /** How many bytes its files take. */
    static long size(Path folder) throws IOException {
        long size = 0;
        for (String name : DurableDirectories.names(folder)) {
            size += Files.size(folder.resolve(name));
        }
        return size;
    }

    /** How many transactions there have been since it was opened. */
    long written() {
        return written;
    }

    PersistentState load() throws IOException {
        PersistentState[] found = new PersistentState[1];
        try {
            environment.executeInReadonlyTransaction(t -> found[0] = load(t));
        } catch (RuntimeException e) {
            if (byReading(e)) {
                throw new IOException(e.getMessage(), e);
            }
            throw new TornWriteException(folder + " does not hold what was written: " + e.getMessage(), e);
        } catch (Error e) {
            throw new IOException(e.getMessage(), e);
        }
        return found[0];
    }

    private PersistentState load(Transaction t) {
        if (!environment.storeExists(TERMS, t)) {
            return null;
        }
        var terms = environment.openStore(TERMS, StoreConfig.USE_EXISTING, t);
        ByteIterable promised = terms.get(t, PROMISED);
        if (promised == null) {
            return null;
        }
        List<Item> items = new ArrayList<>();
        long sum = 0;
        try (Cursor cursor =
                environment.openStore(ITEMS, StoreConfig.USE_EXISTING, t).openCursor(t)) {
            while (cursor.getNext()) {
                items.add(Item.ofText(text(cursor.getValue())));
                sum += print(cursor.getKey(), cursor.getValue());
            }
        }
        ByteIterable sealed = terms.get(t, SEAL);
        if (sealed == null) {
            // Written by a build without seals: the next write sets one.
            seal = new WriteChecksum(seal.number(), sum);
        } else {
            WriteChecksum found = WriteChecksum.of(text(sealed), terms(terms, t));
            if (found.sum() != sum) {
                throw new IllegalArgumentException("the items are not those that were sealed");
            }
            seal = found;
        }
        String crew = text(terms.get(t, CREW));
        return new PersistentState(
                ProposalNumber.of(text(promised)),
                ProposalNumber.of(text(terms.get(t, ACCEPTED))),
                crew.isEmpty() ? List.of() : List.of(crew.split("\n")),
                items,
                Boolean.parseBoolean(text(terms.get(t, HEARSAY))),
                disk(terms.get(t, DISK)));
    }

    private static List<String> terms(jetbrains.exodus.env.Store terms, Transaction t) {
        // Builds before wrote no number of the disk.
        return Stream.of(PROMISED, ACCEPTED, CREW, HEARSAY, DISK)
                .filter(name -> name != DISK || terms.get(t, DISK) != null)
                .map(name -> text(terms.get(t, name)))
                .toList();
    }

    private static long disk(ByteIterable number) {
        return number == null ? 0 : Long.parseLong(text(number));
    }

    void write(StorageUpdate change) throws IOException {
        write(change, change.learnedSecondHand());
    }

    /** Writes all that stands into a folder made anew, after so many writes. */
    void write(PersistentState all, long number) throws IOException {
        seal = new WriteChecksum(number, 0);
        write(
                new StorageUpdate(all.promised(), all.accepted(), all.voters(), all.items(), true, all.disk()),
                all.learnedSecondHand());
    }

    private void write(StorageUpdate change, boolean hearsay) throws IOException {
        WriteChecksum[] next = new WriteChecksum[1];
        guarded(() -> environment.executeInExclusiveTransaction(t -> next[0] = write(change, hearsay, t)));
        written++;
        seal = next[0];
        Set<String> now = DurableDirectories.names(folder);
        if (!now.containsAll(files)) {
            throw new IOException("files of " + folder + " are gone");
        }
        if (!files.containsAll(now)) {
            folders.sync(folder);
        }
        files = now;
    }

    private WriteChecksum write(StorageUpdate change, boolean hearsay, Transaction t) {
        long sum = seal.sum();
        if (change.fullSnapshot()) {
            sum = 0;
            if (environment.storeExists(ITEMS, t)) {
                environment.truncateStore(ITEMS, t);
            }
        }
        var items = environment.openStore(ITEMS, StoreConfig.WITHOUT_DUPLICATES, t);
        var terms = environment.openStore(TERMS, StoreConfig.WITHOUT_DUPLICATES, t);
        for (Item item : change.items()) {
            ByteIterable key =
                    bytes(item.key().table().wire() + "." + item.key().name());
            ByteIterable value = bytes(item.toText());
            ByteIterable before = items.get(t, key);
            sum += print(key, value) - (before == null ? 0 : print(key, before));
            items.put(t, key, value);
        }
        terms.put(t, PROMISED, bytes(change.promised().toString()));
        if (change.accepted() != null || terms.get(t, ACCEPTED) == null) {
            ProposalNumber accepted = change.accepted() == null ? ProposalNumber.ZERO : change.accepted();
            terms.put(t, ACCEPTED, bytes(accepted.toString()));
        }
        if (change.accepted() != null || terms.get(t, HEARSAY) == null) {
            terms.put(t, HEARSAY, bytes(Boolean.toString(hearsay)));
        }
        if (change.voters() != null || terms.get(t, CREW) == null) {
            terms.put(t, CREW, bytes(change.voters() == null ? "" : String.join("\n", change.voters())));
        }
        if (change.setsDiskId()) {
            terms.put(t, DISK, bytes(Long.toString(change.disk())));
        }
        WriteChecksum next = new WriteChecksum(seal.number() + 1, sum);
        terms.put(t, SEAL, bytes(next.over(terms(terms, t))));
        return next;
    }

    private static void guarded(Runnable work) throws IOException {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static long print(ByteIterable key, ByteIterable value) {
        return WriteChecksum.print(
                Arrays.copyOf(key.getBytesUnsafe(), key.getLength()),
                Arrays.copyOf(value.getBytesUnsafe(), value.getLength()));
    }

    private static ByteIterable bytes(String text) {
        return new ArrayByteIterable(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteIterable bytes) {
        return new String(bytes.getBytesUnsafe(), 0, bytes.getLength(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        guarded(environment::close);
    }
}
