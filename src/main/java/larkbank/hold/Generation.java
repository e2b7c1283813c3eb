package larkbank.hold;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import jetbrains.exodus.ArrayByteIterable;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import larkbank.copies.Change;
import larkbank.copies.Stamp;
import larkbank.copies.Standing;
import larkbank.manifest.Item;
import larkbank.manifest.Key;

/** One folder with a Xodus environment. A write is one transaction. */
final class Generation implements AutoCloseable {

    private static final String ITEMS = "items";
    private static final String TERMS = "terms";
    private static final ByteIterable PROMISED = bytes("promised");
    private static final ByteIterable ACCEPTED = bytes("accepted");
    private static final ByteIterable CREW = bytes("crew");
    private static final ByteIterable HEARSAY = bytes("hearsay");

    private final Path folder;
    private final Environment environment;
    private Set<String> files;
    private long written;

    /** Opens the folder, made anew where it is not there. */
    Generation(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
        EnvironmentConfig config = new EnvironmentConfig();
        config.setLogDurableWrite(true);
        config.setLogFileSize(1024);
        config.setLogCachePageSize(16 * 1024);
        config.setMemoryUsage(8L << 20);
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
            throw new IOException("cannot open " + folder + ": " + e.getMessage(), e);
        }
        Folders.sync(folder);
        files = Folders.names(folder);
    }

    /** How many bytes its files take. */
    long size() throws IOException {
        long size = 0;
        for (String name : Folders.names(folder)) {
            size += Files.size(folder.resolve(name));
        }
        return size;
    }

    /** How many transactions there have been since it was opened. */
    long written() {
        return written;
    }

    Standing load() throws IOException {
        Standing[] found = new Standing[1];
        guarded(() -> environment.executeInReadonlyTransaction(t -> found[0] = load(t)));
        return found[0];
    }

    private Standing load(Transaction t) {
        if (!environment.storeExists(TERMS, t)) {
            return null;
        }
        var terms = environment.openStore(TERMS, StoreConfig.USE_EXISTING, t);
        ByteIterable promised = terms.get(t, PROMISED);
        if (promised == null) {
            return null;
        }
        List<Item> items = new ArrayList<>();
        try (Cursor cursor = environment.openStore(ITEMS, StoreConfig.USE_EXISTING, t).openCursor(t)) {
            while (cursor.getNext()) {
                items.add(Item.ofText(text(cursor.getValue())));
            }
        }
        String crew = text(terms.get(t, CREW));
        return new Standing(Stamp.of(text(promised)), Stamp.of(text(terms.get(t, ACCEPTED))),
                crew.isEmpty() ? List.of() : List.of(crew.split("\n")), items,
                Boolean.parseBoolean(text(terms.get(t, HEARSAY))));
    }

    void write(Change change) throws IOException {
        write(change, change.hearsay());
    }

    /** Writes all that stands into a folder made anew. */
    void write(Standing all) throws IOException {
        write(new Change(all.promised(), all.accepted(), all.crew(), all.items(), true), all.hearsay());
    }

    private void write(Change change, boolean hearsay) throws IOException {
        guarded(() -> environment.executeInExclusiveTransaction(t -> write(change, hearsay, t)));
        written++;
        Set<String> now = Folders.names(folder);
        if (!files.containsAll(now)) {
            Folders.sync(folder);
        }
        files = now;
    }

    private void write(Change change, boolean hearsay, Transaction t) {
        if (change.whole() && environment.storeExists(ITEMS, t)) {
            environment.truncateStore(ITEMS, t);
        }
        var items = environment.openStore(ITEMS, StoreConfig.WITHOUT_DUPLICATES, t);
        var terms = environment.openStore(TERMS, StoreConfig.WITHOUT_DUPLICATES, t);
        for (Item item : change.items()) {
            Key key = item.key();
            items.put(t, bytes(key.table().wire() + "." + key.name()), bytes(item.toText()));
        }
        terms.put(t, PROMISED, bytes(change.promised().toString()));
        if (change.accepted() != null || terms.get(t, ACCEPTED) == null) {
            Stamp accepted = change.accepted() == null ? Stamp.ZERO : change.accepted();
            terms.put(t, ACCEPTED, bytes(accepted.toString()));
        }
        if (change.accepted() != null || terms.get(t, HEARSAY) == null) {
            terms.put(t, HEARSAY, bytes(Boolean.toString(hearsay)));
        }
        if (change.crew() != null || terms.get(t, CREW) == null) {
            terms.put(t, CREW, bytes(change.crew() == null ? "" : String.join("\n", change.crew())));
        }
    }

    private static void guarded(Runnable work) throws IOException {
        try {
            work.run();
        } catch (RuntimeException | Error e) {
            throw new IOException(e.getMessage(), e);
        }
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
