package larkbank.hold;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import larkbank.copies.Change;
import larkbank.copies.Standing;

/**
 * Keeps a copy in a folder. Xodus only ever appends; so where its files have grown large, what stands is
 * written into a folder next to it, which takes over at once when a small file names it. No thread cleans up.
 *
 * <p>Opening it gives all that was told to be written, or fails. A last write that a loss of power has torn
 * was never told: it is cut off. Where more is missing, the disk has forgotten: an operator must empty it.
 */
public final class XodusStore implements Store {

    private static final long LARGE = 12L << 20;
    private static final int LOOK_EVERY = 16;
    private static final int TIMES = 4;
    private static final String NAMES = "current";
    private static final String WITNESS = "written";

    private final Path folder;
    private final long large;
    private long number;
    private long most;
    private Generation generation;
    /** How many writes have come back, as far as this process knows. */
    private long written;
    private Witness witness;

    public XodusStore(Path folder) throws IOException {
        this(folder, LARGE);
    }

    XodusStore(Path folder, long large) throws IOException {
        this.folder = folder;
        this.large = large;
        most = large;
        Path parent = folder.toAbsolutePath().getParent();
        if (!Files.exists(folder)) {
            Files.createDirectories(folder);
            Folders.sync(parent);
        }
        open();
    }

    private void open() throws IOException {
        Path names = folder.resolve(NAMES);
        if (!Files.exists(names)) {
            if (written > 0 || Folders.names(folder).stream().anyMatch(n -> n.matches("\\d+"))) {
                throw new IOException(names + " is gone");
            }
            Folders.replace(names, "0\n");
        }
        try {
            number = Long.parseLong(Files.readString(names).trim());
        } catch (NumberFormatException e) {
            throw new IOException(names + " names no folder", e);
        }
        witness = new Witness(folder.resolve(WITNESS));
        // A name that was put there right before this process ended may not have been durable.
        Folders.sync(folder);
        try {
            generation = number == 0 ? first(names) : sealed(folder.resolve(Long.toString(number)));
            number = Math.max(number, 1);
            if (generation.number() < Math.max(written, witness.number())) {
                throw new IOException(folder + " has forgotten: it stands after write " + generation.number()
                        + " of " + Math.max(written, witness.number()));
            }
            clean(number);
        } catch (IOException e) {
            shut();
            throw e;
        }
    }

    /** Begun, but never come to its first folder: there can be nothing in it yet. */
    private Generation first(Path names) throws IOException {
        Generation first = new Generation(folder.resolve("1"));
        if (first.load() != null) {
            first.close();
            throw new IOException(names + " names no folder, but there is one");
        }
        Folders.replace(names, "1\n");
        return first;
    }

    private static Generation sealed(Path named) throws IOException {
        if (!Files.isDirectory(named)) {
            throw new IOException(named + " is not there");
        }
        try {
            return new Generation(named);
        } catch (Torn e) {
            Generation.cut(named);
            return new Generation(named);
        }
    }

    private void clean(long kept) throws IOException {
        for (String name : Folders.names(folder)) {
            if (name.matches("\\d+") && !name.equals(Long.toString(kept))) {
                Folders.delete(folder.resolve(name));
            }
        }
    }

    @Override
    public Optional<Standing> load() throws IOException {
        if (generation == null) {
            open();
        }
        return Optional.ofNullable(generation.load());
    }

    @Override
    public void write(Change change) throws IOException {
        try {
            if (generation == null) {
                open();
            }
            boolean look = change.whole() || generation.written() % LOOK_EVERY == LOOK_EVERY - 1;
            if (look && generation.size() > most) {
                begin(change);
            } else {
                generation.write(change);
            }
            written = generation.number();
            witness.saw(written);
        } catch (IOException e) {
            shut();
            throw e;
        }
    }

    /** Writes all that stands after the change into the next folder, and makes that the one that counts. */
    private void begin(Change change) throws IOException {
        Standing all = change.on(generation.load());
        long following = number + 1;
        Path next = folder.resolve(Long.toString(following));
        Folders.delete(next);
        Generation fresh = new Generation(next);
        try {
            fresh.write(all, generation.number());
            Folders.sync(folder);
            Folders.replace(folder.resolve(NAMES), following + "\n");
        } catch (IOException e) {
            try {
                fresh.close();
            } catch (IOException again) {
                e.addSuppressed(again);
            }
            throw e;
        }
        Generation old = generation;
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
            Generation open = generation;
            generation = null;
            open.close();
        }
    }
}
