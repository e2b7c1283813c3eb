package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Power is lost at each step. Of the names that were made, renamed or removed since their folder's last sync
 * each is kept or lost by itself, and a file made since then may be empty: every such subset.
 */
class LostDirectoryEntriesTest {

    private static final int MOST = 1 << 12;
    private static final byte[] DIRECTORY = {'d'};
    private static final byte[] EMPTY = {};

    @TempDir
    private Path folder;

    private Path copy;
    private int kib;
    private PersistentState acknowledged;
    private PersistentState underWay;
    private final Set<String> seen = new HashSet<>();

    /** Looks at what is there before and after each step that a loss of power may come between. */
    private final class Watched extends DurableDirectories {
        /** What each name may be since its folder's last sync: contents, or null where it is not there. */
        private final Map<String, List<byte[]>> choices = new TreeMap<>();

        private final Set<String> forced = new HashSet<>();
        private final Set<String> moved = new HashSet<>();

        @Override
        void sync(Path synced) throws IOException {
            crash();
            super.sync(synced);
            Map<String, byte[]> now = tree();
            choices.forEach((name, its) -> {
                if (synced.equals(copy.resolve(name).getParent())) {
                    its.clear();
                    its.add(now.get(name));
                    moved.remove(name);
                }
            });
        }

        @Override
        void force(Path file) throws IOException {
            super.force(file);
            forced.add(copy.relativize(file).toString());
        }

        @Override
        void move(Path file, Path to) throws IOException {
            crash();
            super.move(file, to);
            String name = copy.relativize(to).toString();
            moved.add(name);
            if (forced.remove(copy.relativize(file).toString())) {
                forced.add(name);
            } else {
                forced.remove(name);
            }
            crash();
        }

        @Override
        void delete(Path file) throws IOException {
            super.delete(file);
            crash();
        }

        private Map<String, byte[]> tree() throws IOException {
            Map<String, byte[]> tree = new TreeMap<>();
            if (Files.exists(copy)) {
                try (Stream<Path> all = Files.walk(copy)) {
                    for (Path file : all.filter(f -> !f.equals(copy)).toList()) {
                        tree.put(
                                copy.relativize(file).toString(),
                                Files.isDirectory(file) ? DIRECTORY : Files.readAllBytes(file));
                    }
                }
            }
            return tree;
        }

        /** Every state that a loss of power may leave now is opened, written to and opened again. */
        void crash() throws IOException {
            Map<String, byte[]> now = tree();
            new TreeSet<>(choices.keySet()).forEach(name -> now.putIfAbsent(name, null));
            now.forEach((name, content) -> {
                List<byte[]> its = choices.computeIfAbsent(name, n -> new ArrayList<>(Arrays.asList((byte[]) null)));
                boolean made = its.contains(null);
                if (its.get(0) != null && content != null && its.size() == 1 && !moved.contains(name)) {
                    // Its name stands; what its own sync covers is the matter of TornFilesTest.
                    its.set(0, content);
                } else if (its.stream().noneMatch(c -> Arrays.equals(c, content))) {
                    its.add(content);
                }
                if (made
                        && content != null
                        && content != DIRECTORY
                        && !forced.contains(name)
                        && its.stream().noneMatch(c -> c != null && c.length == 0)) {
                    its.add(EMPTY);
                    if (acknowledged == null) {
                        its.add(Arrays.copyOf(content, content.length / 2));
                    }
                }
            });
            long ways = choices.values().stream().mapToLong(List::size).reduce(1, (a, b) -> a * b);
            assertThat(ways).as("subsets of " + choices.keySet()).isLessThan(MOST);
            for (long way = 0; way < ways; way++) {
                Map<String, byte[]> left = new LinkedHashMap<>();
                long rest = way;
                for (Map.Entry<String, List<byte[]>> choice : choices.entrySet()) {
                    List<byte[]> its = choice.getValue();
                    left.put(choice.getKey(), its.get((int) (rest % its.size())));
                    rest /= its.size();
                }
                opens(left);
            }
        }
    }

    private void opens(Map<String, byte[]> left) throws IOException {
        StringBuilder names = new StringBuilder();
        left.forEach(
                (name, content) -> names.append(content == null ? " -" : " ").append(name));
        if (!seen.add(names + " " + Objects.hash(acknowledged, underWay)
                + left.values().stream().map(Arrays::hashCode).toList())) {
            return;
        }
        Path other = folder.resolve("left");
        new DurableDirectories().delete(other);
        Files.createDirectories(other);
        for (Map.Entry<String, byte[]> each : left.entrySet()) {
            Path path = other.resolve(each.getKey());
            if (each.getValue() == DIRECTORY) {
                Files.createDirectory(path);
            } else if (each.getValue() != null && Files.isDirectory(path.getParent())) {
                Files.write(path, each.getValue());
            }
        }
        StorageUpdate more = new StorageUpdate(StoreContract.stamp(90), null, null, List.of(), false);
        Optional<PersistentState> found;
        try (XodusStore store = new XodusStore(other, 1 << 20, kib, new DurableDirectories())) {
            assertThat(store.damaged()).as(names.toString()).isFalse();
            found = store.load();
            assertThat(found.orElse(null)).as(names.toString()).isIn(acknowledged, underWay);
            store.write(more);
        } catch (IOException e) {
            throw new IOException("refused: " + names, e);
        }
        try (Store store = new XodusStore(other, 1 << 20, kib, new DurableDirectories())) {
            assertThat(store.load()).contains(more.on(found.orElse(null)));
        }
    }

    /** What the tests find, or null. */
    static String broken(Path folder, String any) throws IOException {
        for (int way = 0; way < 2; way++) {
            LostDirectoryEntriesTest test = new LostDirectoryEntriesTest();
            test.folder = Files.createDirectory(folder.resolve("names" + way));
            try {
                test.everySubsetOfNamesOpensWithWhatWasAcknowledged(
                        way == 0 ? 1 << 20 : 16 << 10, way == 0 ? 32 : 1024, way == 0 ? 14 : 6, 2 - way);
            } catch (AssertionError | IOException e) {
                return String.valueOf(e);
            }
        }
        return null;
    }

    private void write(XodusStore store, StorageUpdate change) throws IOException {
        underWay = change.on(acknowledged);
        store.write(change);
        acknowledged = underWay;
    }

    /** With new generations, and with one that takes several files of Xodus. */
    @ParameterizedTest
    @CsvSource({"16384, 1024, 6, 1", "1048576, 32, 14, 2"})
    void everySubsetOfNamesOpensWithWhatWasAcknowledged(long large, int fileKib, int writes, int logs)
            throws IOException {
        kib = fileKib;
        copy = folder.resolve("copy");
        Watched watched = new Watched();
        try (XodusStore store = new XodusStore(copy, large, kib, watched)) {
            watched.crash();
            for (int i = 1; i < writes; i++) {
                write(
                        store,
                        i % 4 == 1
                                ? StoreContract.whole(i, StoreContract.item("a", i, 9_000))
                                : new StorageUpdate(
                                        StoreContract.stamp(i),
                                        StoreContract.stamp(i),
                                        null,
                                        List.of(StoreContract.item("b" + i % 2, i, 2_000)),
                                        false));
                watched.crash();
            }
        }
        try (Stream<Path> files = Files.walk(copy)) {
            assertThat(files.filter(f -> f.toString().endsWith(".xd")).count()).isEqualTo(logs);
        }
        assertThat(seen).hasSizeGreaterThan(40);
    }
}
