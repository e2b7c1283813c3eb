package org.cypressweir.controlplane.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;

/**
 * Keeps a copy in a folder. Xodus only ever appends; so where its files have grown large, what stands is
 * written into a folder next to it, which takes over at once when a small file names it. No thread cleans up.
 *
 * <p>Opening it gives all that was told to be written. A last write that a loss of power has torn was never
 * told: it is cut off. Where more is missing, what is there is set aside, and the store begins empty and
 * says from then on that it was damaged. A disk that refuses reads or writes is not judged: opening fails.
 */
public final class XodusStore implements Store {

    private static final long LARGE = 12L << 20;
    /** No item is larger than a file may be; a file takes only what is written to it. */
    private static final int FILE_KIB = 64 * 1024;

    private static final int LOOK_EVERY = 16;
    private static final int TIMES = 4;
    /** A folder that is larger has been written to. */
    private static final int BEGUN = 64 << 10;

    private static final String NAMES = "current";
    private static final String WITNESS = "written";

    private final Path folder;
    private final DurableDirectories folders;
    private final long large;
    private final int fileKib;
    private long number;
    private long most;
    private final Quarantine aside;
    private final Optional<String> reason;
    private StoreEnvironment generation;
    /** Whether a write has been cut off: one is under way at a time. */
    private boolean cut;
    /** How many writes have come back, as far as this process knows. */
    private long written;

    private WriteCounterFile witness;

    public XodusStore(Path folder) throws IOException {
        this(folder, LARGE);
    }

    XodusStore(Path folder, long large) throws IOException {
        this(folder, large, FILE_KIB, new DurableDirectories());
    }

    XodusStore(Path folder, long large, int fileKib, DurableDirectories folders) throws IOException {
        this.folder = folder;
        this.folders = folders;
        aside = new Quarantine(folder, folders);
        this.large = large;
        this.fileKib = fileKib;
        most = large;
        Path parent = folder.toAbsolutePath().getParent();
        if (!Files.exists(folder)) {
            Files.createDirectories(folder);
            folders.sync(parent);
        }
        Optional<String> why = Optional.empty();
        try {
            open();
        } catch (CorruptStoreException first) {
            aside.prove();
            why = again();
        }
        reason = why;
        aside.bound();
    }

    /** Only what is found twice, by a disk that reads all and takes a write, is damage. */
    private Optional<String> again() throws IOException {
        try {
            open();
            return Optional.empty();
        } catch (CorruptStoreException second) {
            aside.take(second.getMessage());
            open();
            return Optional.of(second.getMessage());
        }
    }

    /** What was wrong with the folder that was set aside when this store was opened. */
    public Optional<String> setAside() {
        return reason;
    }

    /** Whether this folder was ever set aside: that it is empty does not mean that nothing stood. */
    public boolean damaged() {
        return aside.ever();
    }

    private void open() throws IOException {
        Path names = folder.resolve(NAMES);
        if (!Files.exists(names)) {
            if (written > 0 || DurableDirectories.names(folder).stream().anyMatch(n -> n.matches("\\d+"))) {
                throw new CorruptStoreException(names + " is gone", null);
            }
            folders.replace(names, "0\n");
        }
        try {
            number = Long.parseLong(
                    Files.readString(names, StandardCharsets.ISO_8859_1).trim());
        } catch (NumberFormatException e) {
            throw new CorruptStoreException(names + " names no folder", e);
        }
        witness = new WriteCounterFile(folder.resolve(WITNESS));
        // A name that was put there right before this process ended may not have been durable.
        folders.sync(folder);
        try {
            generation = number == 0 ? first(names) : sealed(folder.resolve(Long.toString(number)));
            number = Math.max(number, 1);
            if (generation.number() < Math.max(written, witness.number())) {
                throw new CorruptStoreException(
                        folder + " has forgotten: it stands after write " + generation.number() + " of "
                                + Math.max(written, witness.number()),
                        null);
            }
            clean(number);
        } catch (IOException e) {
            shut();
            throw e;
        }
    }

    /** Begun, but never come to its first folder: there can be nothing in it yet. */
    private StoreEnvironment first(Path names) throws IOException {
        Path one = folder.resolve("1");
        StoreEnvironment first;
        try {
            first = new StoreEnvironment(one, fileKib, folders);
        } catch (CorruptStoreException e) {
            if (witness.number() > 0 || StoreEnvironment.size(one) > BEGUN) {
                throw e;
            }
            // Power was lost while it was made: nothing was ever written to it.
            folders.delete(one);
            first = new StoreEnvironment(one, fileKib, folders);
        }
        if (first.load() != null) {
            first.close();
            throw new CorruptStoreException(names + " names no folder, but there is one", null);
        }
        folders.sync(folder); // Before its name.
        folders.replace(names, "1\n");
        return first;
    }

    private StoreEnvironment sealed(Path named) throws IOException {
        if (!Files.isDirectory(named)) {
            throw new CorruptStoreException(named + " is not there", null);
        }
        try {
            return new StoreEnvironment(named, fileKib, folders);
        } catch (TornWriteException e) {
            if (cut) {
                throw e;
            }
            cut = true;
            StoreEnvironment.cut(named);
            return new StoreEnvironment(named, fileKib, folders);
        }
    }

    private void clean(long kept) throws IOException {
        for (String name : DurableDirectories.names(folder)) {
            if (name.matches("\\d+") && !name.equals(Long.toString(kept))) {
                folders.delete(folder.resolve(name));
            }
        }
    }

    @Override
    public Optional<PersistentState> load() throws IOException {
        if (generation == null) {
            open();
        }
        return Optional.ofNullable(generation.load());
    }

    @Override
    public void write(StorageUpdate change) throws IOException {
        try {
            if (generation == null) {
                open();
            }
            boolean look = change.fullSnapshot() || generation.written() % LOOK_EVERY == LOOK_EVERY - 1;
            if (look && generation.size() > most) {
                begin(change);
            } else {
                generation.write(change);
            }
            cut = false;
            written = generation.number();
            witness.saw(written);
        } catch (IOException e) {
            shut();
            throw e;
        }
    }

    /** Writes all that stands after the change into the next folder, and makes that the one that counts. */
    private void begin(StorageUpdate change) throws IOException {
        PersistentState all = change.on(generation.load());
        long following = number + 1;
        Path next = folder.resolve(Long.toString(following));
        folders.delete(next);
        StoreEnvironment fresh = new StoreEnvironment(next, fileKib, folders);
        try {
            fresh.write(all, generation.number());
            folders.sync(folder);
            folders.replace(folder.resolve(NAMES), following + "\n");
        } catch (IOException e) {
            try {
                fresh.close();
            } catch (IOException again) {
                e.addSuppressed(again);
            }
            throw e;
        }
        StoreEnvironment old = generation;
        generation = fresh;
        number = following;
        most = Math.max(large, TIMES * fresh.size());
        try {
            old.close();
            clean(number);
        } catch (IOException e) {
            // What stands is written; what is left over goes when the store is opened next.
            return;
        }
    }

    private void shut() {
        try {
            close();
        } catch (IOException e) {
            // It had failed already; the next write opens anew and tells if that cannot be.
            generation = null;
            witness = null;
        }
    }

    @Override
    public void close() throws IOException {
        if (witness != null) {
            witness.close();
            witness = null;
        }
        if (generation != null) {
            StoreEnvironment open = generation;
            generation = null;
            open.close();
        }
    }
}
