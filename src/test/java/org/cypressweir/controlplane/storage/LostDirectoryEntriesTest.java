package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
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
 * Simulates a loss of power at each step of a few writes. Each change of a directory entry since the last sync of its
 * directory may or may not have reached the disk, independently of the others, and a file created since then may be
 * empty. A store is opened on every such combination: it has the state before or after the write in flight.
 */
class LostDirectoryEntriesTest {

    private static final int MAX_SUBSETS = 1 << 12;
    private static final int MIN_DISTINCT_STATES = 40;
    private static final byte[] DIRECTORY = {'d'};
    private static final byte[] EMPTY = {};

    @TempDir
    private Path temporary;

    private Path storeDirectory;
    private int logFileKib;
    private PersistentState acknowledged;
    private PersistentState inFlight;
    private final Set<String> checkedStates = new HashSet<>();

    /** Checks all states that a loss of power may leave, at each step that changes or syncs directory entries. */
    private final class PowerLossDirectories extends DurableDirectories {
        /** By path, the contents that a loss of power may leave; null where the entry is lost. */
        private final Map<String, List<byte[]>> possibleContents = new TreeMap<>();

        private final Set<String> forced = new HashSet<>();
        private final Set<String> moved = new HashSet<>();

        @Override
        void sync(Path directory) throws IOException {
            checkAllSubsets();
            super.sync(directory);
            Map<String, byte[]> present = tree();
            possibleContents.forEach((path, contents) -> {
                if (directory.equals(storeDirectory.resolve(path).getParent())) {
                    contents.clear();
                    contents.add(present.get(path));
                    moved.remove(path);
                }
            });
        }

        @Override
        void force(Path file) throws IOException {
            super.force(file);
            forced.add(relative(file));
        }

        @Override
        void move(Path file, Path target) throws IOException {
            checkAllSubsets();
            super.move(file, target);
            moved.add(relative(target));
            if (forced.remove(relative(file))) {
                forced.add(relative(target));
            } else {
                forced.remove(relative(target));
            }
            checkAllSubsets();
        }

        @Override
        void delete(Path file) throws IOException {
            super.delete(file);
            checkAllSubsets();
        }

        private String relative(Path file) {
            return storeDirectory.relativize(file).toString();
        }

        private Map<String, byte[]> tree() throws IOException {
            Map<String, byte[]> tree = new TreeMap<>();
            if (!Files.exists(storeDirectory)) {
                return tree;
            }
            try (Stream<Path> files = Files.walk(storeDirectory)) {
                for (Path file :
                        files.filter(each -> !each.equals(storeDirectory)).toList()) {
                    tree.put(relative(file), Files.isDirectory(file) ? DIRECTORY : Files.readAllBytes(file));
                }
            }
            return tree;
        }

        /** Opens each state that a loss of power may leave now, writes to it and opens it again. */
        void checkAllSubsets() throws IOException {
            Map<String, byte[]> present = tree();
            new TreeSet<>(possibleContents.keySet()).forEach(path -> present.putIfAbsent(path, null));
            present.forEach(this::addPossibleContent);
            long subsets =
                    possibleContents.values().stream().mapToLong(List::size).reduce(1, (a, b) -> a * b);
            assertThat(subsets).as("subsets of " + possibleContents.keySet()).isLessThan(MAX_SUBSETS);
            for (long subset = 0; subset < subsets; subset++) {
                checkRecovery(select(subset));
            }
        }

        private void addPossibleContent(String path, byte[] content) {
            List<byte[]> contents = possibleContents.computeIfAbsent(
                    path, created -> new ArrayList<>(Collections.singletonList((byte[]) null)));
            boolean entryMayBeLost = contents.contains(null);
            boolean entryIsDurable = contents.size() == 1 && contents.get(0) != null && !moved.contains(path);
            if (entryIsDurable && content != null) {
                // TornWritesTest covers content that is lost although the entry is durable.
                contents.set(0, content);
            } else if (contents.stream().noneMatch(each -> Arrays.equals(each, content))) {
                contents.add(content);
            }
            boolean createdFile = entryMayBeLost && content != null && content != DIRECTORY;
            if (createdFile
                    && !forced.contains(path)
                    && contents.stream().noneMatch(each -> each != null && each.length == 0)) {
                contents.add(EMPTY);
                if (acknowledged == null) {
                    contents.add(Arrays.copyOf(content, content.length / 2));
                }
            }
        }

        /** One possible content of each path, selected by the number of the combination. */
        private Map<String, byte[]> select(long subset) {
            Map<String, byte[]> selected = new LinkedHashMap<>();
            long remainder = subset;
            for (Map.Entry<String, List<byte[]>> entry : possibleContents.entrySet()) {
                List<byte[]> contents = entry.getValue();
                selected.put(entry.getKey(), contents.get((int) (remainder % contents.size())));
                remainder /= contents.size();
            }
            return selected;
        }
    }

    private void checkRecovery(Map<String, byte[]> files) throws IOException {
        String description = describe(files);
        List<Integer> contentHashes =
                files.values().stream().map(Arrays::hashCode).toList();
        if (!checkedStates.add(description + " " + Objects.hash(acknowledged, inFlight) + contentHashes)) {
            return;
        }
        Path recovered = temporary.resolve("recovered");
        writeTree(recovered, files);
        StorageUpdate update = new StorageUpdate(StoreContract.proposal(90), null, null, List.of(), false);
        Optional<PersistentState> found;
        try (XodusStore store = openStore(recovered)) {
            assertThat(store.damaged()).as(description).isFalse();
            found = store.load();
            assertThat(found.orElse(null)).as(description).isIn(acknowledged, inFlight);
            store.write(update);
        } catch (IOException e) {
            throw new IOException("cannot open or write: " + description, e);
        }
        try (Store store = openStore(recovered)) {
            assertThat(store.load()).contains(update.appliedTo(found.orElse(null)));
        }
    }

    private static String describe(Map<String, byte[]> files) {
        StringBuilder description = new StringBuilder();
        files.forEach((path, content) ->
                description.append(content == null ? " -" : " ").append(path));
        return description.toString();
    }

    private static void writeTree(Path directory, Map<String, byte[]> files) throws IOException {
        new DurableDirectories().delete(directory);
        Files.createDirectories(directory);
        for (Map.Entry<String, byte[]> entry : files.entrySet()) {
            Path file = directory.resolve(entry.getKey());
            if (entry.getValue() == DIRECTORY) {
                Files.createDirectory(file);
            } else if (entry.getValue() != null && Files.isDirectory(file.getParent())) {
                Files.write(file, entry.getValue());
            }
        }
    }

    private XodusStore openStore(Path directory) throws IOException {
        return new XodusStore(directory, 1 << 20, logFileKib, new DurableDirectories());
    }

    /**
     * The first failure of the tests, or null where they pass.
     *
     * @param unusedTestMethod not used: all tests are run
     */
    static String firstFailure(Path folder, String unusedTestMethod) throws IOException {
        for (int run = 0; run < 2; run++) {
            boolean manyLogFiles = run == 0;
            LostDirectoryEntriesTest test = new LostDirectoryEntriesTest();
            test.temporary = Files.createDirectory(folder.resolve("names" + run));
            try {
                if (manyLogFiles) {
                    test.everySubsetOfEntriesRecoversAcknowledgedState(1 << 20, 32, 14, 2);
                } else {
                    test.everySubsetOfEntriesRecoversAcknowledgedState(16 << 10, 1024, 6, 1);
                }
            } catch (AssertionError | IOException e) {
                return String.valueOf(e);
            }
        }
        return null;
    }

    private void write(XodusStore store, StorageUpdate update) throws IOException {
        inFlight = update.appliedTo(acknowledged);
        store.write(update);
        acknowledged = inFlight;
    }

    private static StorageUpdate update(int number) {
        if (number % 4 == 1) {
            return StoreContract.replaceAll(number, StoreContract.item("a", number, 9_000));
        }
        return new StorageUpdate(
                StoreContract.proposal(number),
                StoreContract.proposal(number),
                null,
                List.of(StoreContract.item("b" + number % 2, number, 2_000)),
                false);
    }

    /** With compaction into new generations, and with one generation of several Xodus log files. */
    @ParameterizedTest
    @CsvSource({"16384, 1024, 6, 1", "1048576, 32, 14, 2"})
    void everySubsetOfEntriesRecoversAcknowledgedState(
            long compactionBytes, int fileKib, int writes, int expectedLogFiles) throws IOException {
        logFileKib = fileKib;
        storeDirectory = temporary.resolve("store");
        PowerLossDirectories directories = new PowerLossDirectories();
        try (XodusStore store = new XodusStore(storeDirectory, compactionBytes, logFileKib, directories)) {
            directories.checkAllSubsets();
            for (int number = 1; number < writes; number++) {
                write(store, update(number));
                directories.checkAllSubsets();
            }
        }
        try (Stream<Path> files = Files.walk(storeDirectory)) {
            assertThat(files.filter(file -> file.toString().endsWith(".xd")).count())
                    .isEqualTo(expectedLogFiles);
        }
        assertThat(checkedStates).hasSizeGreaterThan(MIN_DISTINCT_STATES);
    }
}
