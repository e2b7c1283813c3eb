package org.cypressweir.controlplane.storage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.stream.Stream;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.StorageUpdate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Opens stores whose log was left incomplete by a loss of power, or was damaged later. Sector by sector, the log of a
 * few writes is truncated, lacks a sector, has only that sector of a write, or has a flipped bit.
 */
class TornWritesTest {

    private static final int SECTOR = 512;
    private static final String LOG = "1/00000000000.xd";
    private static final String COUNTER_FILE = "written";

    /** The files after an acknowledged write, and the state at that time. */
    private record Snapshot(Map<String, byte[]> files, PersistentState state) {}

    private final Snapshot[] snapshots = new Snapshot[7];

    @TempDir
    private Path temporary;

    @BeforeEach
    void writeHistory() throws IOException {
        Path directory = temporary.resolve("store");
        List<StorageUpdate> changes = List.of(
                StoreContract.replaceAll(1, StoreContract.item("a", 1, 3)),
                prepare(2),
                new StorageUpdate(
                        StoreContract.proposal(2),
                        StoreContract.proposal(2),
                        null,
                        List.of(StoreContract.item("b", 1, 2_600), StoreContract.item("c", 1, 5)),
                        false),
                prepare(4),
                new StorageUpdate(
                        StoreContract.proposal(4),
                        StoreContract.proposal(4),
                        StoreContract.VOTERS,
                        List.of(StoreContract.item("b", 2, 700)),
                        false),
                prepare(5),
                StoreContract.replaceAll(7, StoreContract.item("c", 2, 900)));
        try (Store store = new XodusStore(directory)) {
            for (int i = 0; i < snapshots.length; i++) {
                store.write(changes.get(i));
                snapshots[i] = new Snapshot(files(directory), store.load().orElseThrow());
            }
        }
    }

    /** The failure of the test method of that name, or null where it passes. */
    static String firstFailure(Path folder, String testMethod) throws IOException, ReflectiveOperationException {
        TornWritesTest test = new TornWritesTest();
        test.temporary = Files.createDirectory(folder.resolve("files"));
        test.writeHistory();
        try {
            TornWritesTest.class.getDeclaredMethod(testMethod).invoke(test);
            return null;
        } catch (InvocationTargetException e) {
            return String.valueOf(e.getCause());
        }
    }

    private static StorageUpdate prepare(int round) {
        return new StorageUpdate(StoreContract.proposal(round), null, null, List.of(), false);
    }

    private static Map<String, byte[]> files(Path directory) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> all = Files.walk(directory)) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                files.put(directory.relativize(file).toString(), Files.readAllBytes(file));
            }
        }
        return files;
    }

    /** Opens a store on these files; returns its state, or null where the files were quarantined. */
    private PersistentState openAndLoad(Map<String, byte[]> files, boolean writeAndReopen) throws IOException {
        Path directory = temporary.resolve("opened");
        new DurableDirectories().delete(directory);
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Path path = directory.resolve(file.getKey());
            Files.createDirectories(path.getParent());
            Files.write(path, file.getValue());
        }
        PersistentState found;
        try (XodusStore store = new XodusStore(directory)) {
            if (store.damaged()) {
                assertThat(store.quarantineReason()).isPresent();
                assertThat(store.load()).isEmpty();
                assertThat(files(directory.resolve("aside-1")))
                        .as("quarantined files")
                        .isNotEmpty();
                return null;
            }
            found = store.load().orElseThrow();
            if (writeAndReopen) {
                store.write(prepare(90));
            }
        }
        if (!writeAndReopen) {
            return found;
        }
        try (Store store = new XodusStore(directory)) {
            assertThat(store.load().orElseThrow()).isEqualTo(prepare(90).appliedTo(found));
        }
        return found;
    }

    /**
     * What the disk may hold of a log after a loss of power during a write, as functions of the logs before and
     * after it and of the offset of one sector: truncated there, without the sector, without all from the sector
     * on, and with that sector only.
     */
    private static final List<BiFunction<byte[][], Integer, byte[]>> INCOMPLETE_LOGS = List.of(
            (logs, offset) -> Arrays.copyOf(logs[1], Math.max(offset, logs[0].length)),
            (logs, offset) -> overwrite(logs[1], logs[0], offset, offset + SECTOR),
            (logs, offset) -> overwrite(logs[1], logs[0], offset, logs[1].length),
            (logs, offset) -> overwrite(Arrays.copyOf(logs[0], logs[1].length), logs[1], offset, offset + SECTOR));

    private static byte[] overwrite(byte[] log, byte[] other, int from, int to) {
        byte[] mixed = log.clone();
        for (int i = from; i < Math.min(to, log.length); i++) {
            mixed[i] = i < other.length ? other[i] : 0;
        }
        return mixed;
    }

    @Test
    void incompleteWriteLeavesStateBeforeOrAfterIt() throws IOException {
        for (int i = 1; i < snapshots.length; i++) {
            byte[][] logs = {snapshots[i - 1].files.get(LOG), snapshots[i].files.get(LOG)};
            assertThat(Arrays.mismatch(logs[0], logs[1]))
                    .as("Xodus only appends")
                    .isEqualTo(logs[0].length);
            Map<String, byte[]> files = new TreeMap<>(snapshots[i - 1].files);
            for (int offset = logs[0].length / SECTOR * SECTOR; offset < logs[1].length; offset += SECTOR) {
                for (int variant = 0; variant < INCOMPLETE_LOGS.size(); variant++) {
                    files.put(LOG, INCOMPLETE_LOGS.get(variant).apply(logs, offset));
                    assertThat(openAndLoad(files, variant == 1))
                            .as("write %s, sector at %s, variant %s", i, offset, variant)
                            .isIn(snapshots[i - 1].state, snapshots[i].state);
                }
            }
        }
    }

    @Test
    void damageLosesNoAcknowledgedWriteUnnoticed() throws IOException {
        Snapshot last = snapshots[snapshots.length - 1];
        byte[] log = last.files.get(LOG);
        Map<String, byte[]> files = new TreeMap<>(last.files);
        int detected = 0;
        for (int offset = 0; offset < log.length; offset += SECTOR) {
            byte[] flipped = log.clone();
            flipped[offset + (log.length - offset) % SECTOR / 2] ^= 4;
            for (byte[] damaged : List.of(
                    flipped, Arrays.copyOf(log, offset), overwrite(log, new byte[0], offset, offset + SECTOR))) {
                files.put(LOG, damaged);
                PersistentState found = openAndLoad(files, false);
                assertThat(found).as("sector at %s", offset).isIn(null, last.state);
                detected += found == null ? 1 : 0;
            }
        }
        assertThat(detected).isGreaterThan(log.length / SECTOR);
    }

    @Test
    void damagedCurrentFileIsDetected() throws IOException {
        Map<String, byte[]> files = new TreeMap<>(snapshots[3].files);
        for (String name : List.of("0\n", "3\n", "q\n", "")) {
            files.put("current", name.getBytes());
            assertThat(openAndLoad(files, false)).as(name).isNull();
        }
        files.putAll(snapshots[3].files);
        files.put(COUNTER_FILE, new byte[0]);
        assertThat(openAndLoad(files, false)).isEqualTo(snapshots[3].state);
    }

    @Test
    void noFileIsMappedAndEmptiedDirectoryFailsWrites() throws IOException {
        Path directory = temporary.resolve("emptied");
        Store store = new XodusStore(directory);
        store.write(StoreContract.replaceAll(1, StoreContract.item("a", 1, 3_000_000)));
        store.write(prepare(2));
        store.load();
        Path maps = Path.of("/proc/self/maps");
        if (Files.exists(maps)) {
            assertThat(Files.readAllLines(maps)).noneMatch(line -> line.contains(directory.toString()));
        }
        for (String name : DurableDirectories.names(directory)) {
            new DurableDirectories().delete(directory.resolve(name));
        }
        for (int i = 3; i < 6; i++) {
            StorageUpdate change = prepare(i);
            assertThatThrownBy(() -> store.write(change)).isInstanceOf(IOException.class);
        }
        store.close();
        try (Store reopened = new XodusStore(directory)) {
            assertThat(reopened.load()).isEmpty();
        }
    }

    @Test
    void missingLogFilesFailWrites() throws IOException {
        Path directory = temporary.resolve("emptied");
        try (Store store = new XodusStore(directory)) {
            store.write(StoreContract.replaceAll(1, StoreContract.item("a", 1, 3)));
            for (String name : DurableDirectories.names(directory.resolve("1"))) {
                Files.delete(directory.resolve("1").resolve(name));
            }
            assertThatThrownBy(() -> store.write(prepare(2))).isInstanceOf(IOException.class);
            assertThatThrownBy(() -> store.write(prepare(3))).isInstanceOf(IOException.class);
        }
    }
}
