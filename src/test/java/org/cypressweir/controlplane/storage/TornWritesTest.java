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

/** A small history, with every sector of each write missing, late, cut off or flipped. */
class TornWritesTest {

    private static final int SECTOR = 512;
    private static final String LOG = "1/00000000000.xd";
    private static final String WITNESS = "written";

    /** The files after a write has come back, and what stands then. */
    private record Moment(Map<String, byte[]> files, PersistentState standing) {}

    private final Moment[] moments = new Moment[7];

    @TempDir
    private Path folder;

    @BeforeEach
    void history() throws IOException {
        Path copy = folder.resolve("copy");
        List<StorageUpdate> changes = List.of(
                StoreContract.whole(1, StoreContract.item("a", 1, 3)),
                promise(2),
                new StorageUpdate(
                        StoreContract.stamp(2),
                        StoreContract.stamp(2),
                        null,
                        List.of(StoreContract.item("b", 1, 2_600), StoreContract.item("c", 1, 5)),
                        false),
                promise(4),
                new StorageUpdate(
                        StoreContract.stamp(4),
                        StoreContract.stamp(4),
                        StoreContract.CREW,
                        List.of(StoreContract.item("b", 2, 700)),
                        false),
                promise(5),
                StoreContract.whole(7, StoreContract.item("c", 2, 900)));
        try (Store store = new XodusStore(copy)) {
            for (int i = 0; i < moments.length; i++) {
                store.write(changes.get(i));
                moments[i] = new Moment(files(copy), store.load().orElseThrow());
            }
        }
    }

    /** What the test of that name finds, or null. */
    static String broken(Path folder, String test) throws IOException, ReflectiveOperationException {
        TornWritesTest torn = new TornWritesTest();
        torn.folder = Files.createDirectory(folder.resolve("files"));
        torn.history();
        try {
            TornWritesTest.class.getDeclaredMethod(test).invoke(torn);
            return null;
        } catch (InvocationTargetException e) {
            return String.valueOf(e.getCause());
        }
    }

    private static StorageUpdate promise(int round) {
        return new StorageUpdate(StoreContract.stamp(round), null, null, List.of(), false);
    }

    private static Map<String, byte[]> files(Path copy) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> all = Files.walk(copy)) {
            for (Path file : all.filter(Files::isRegularFile).toList()) {
                files.put(copy.relativize(file).toString(), Files.readAllBytes(file));
            }
        }
        return files;
    }

    /** What a store that is opened on these files gives, or null where it says that they are damaged. */
    private PersistentState opened(Map<String, byte[]> files, boolean goesOn) throws IOException {
        Path copy = folder.resolve("tried");
        new DurableDirectories().delete(copy);
        for (Map.Entry<String, byte[]> file : files.entrySet()) {
            Path path = copy.resolve(file.getKey());
            Files.createDirectories(path.getParent());
            Files.write(path, file.getValue());
        }
        PersistentState found;
        try (XodusStore store = new XodusStore(copy)) {
            if (store.damaged()) {
                assertThat(store.setAside()).isPresent();
                assertThat(store.load()).isEmpty();
                assertThat(files(copy.resolve("aside-1")))
                        .as("kept for an operator")
                        .isNotEmpty();
                return null;
            }
            found = store.load().orElseThrow();
            if (goesOn) {
                store.write(promise(90));
            }
        }
        if (!goesOn) {
            return found;
        }
        try (Store store = new XodusStore(copy)) {
            assertThat(store.load().orElseThrow()).isEqualTo(promise(90).on(found));
        }
        return found;
    }

    /** What the disk may hold of a log while a write is on its way, for one sector of it. */
    private static final List<BiFunction<byte[][], Integer, byte[]>> LEFT = List.of(
            (logs, at) -> Arrays.copyOf(logs[1], Math.max(at, logs[0].length)),
            (logs, at) -> mixed(logs[1], logs[0], at, at + SECTOR),
            (logs, at) -> mixed(logs[1], logs[0], at, logs[1].length),
            (logs, at) -> mixed(Arrays.copyOf(logs[0], logs[1].length), logs[1], at, at + SECTOR));

    private static byte[] mixed(byte[] log, byte[] other, int from, int to) {
        byte[] mixed = log.clone();
        for (int i = from; i < Math.min(to, log.length); i++) {
            mixed[i] = i < other.length ? other[i] : 0;
        }
        return mixed;
    }

    @Test
    void aWriteThatPowerTookLeavesTheStateBeforeOrAfterIt() throws IOException {
        for (int i = 1; i < moments.length; i++) {
            byte[][] logs = {moments[i - 1].files.get(LOG), moments[i].files.get(LOG)};
            assertThat(Arrays.mismatch(logs[0], logs[1]))
                    .as("Xodus only appends")
                    .isEqualTo(logs[0].length);
            Map<String, byte[]> files = new TreeMap<>(moments[i - 1].files);
            for (int at = logs[0].length / SECTOR * SECTOR; at < logs[1].length; at += SECTOR) {
                for (int way = 0; way < LEFT.size(); way++) {
                    files.put(LOG, LEFT.get(way).apply(logs, at));
                    assertThat(opened(files, way == 1))
                            .as("write %s, sector at %s, way %s", i, at, way)
                            .isIn(moments[i - 1].standing, moments[i].standing);
                }
            }
        }
    }

    @Test
    void whatWasAcknowledgedIsThereOrTheStoreSaysThatItHasForgotten() throws IOException {
        Moment last = moments[moments.length - 1];
        byte[] log = last.files.get(LOG);
        Map<String, byte[]> files = new TreeMap<>(last.files);
        int forgotten = 0;
        for (int at = 0; at < log.length; at += SECTOR) {
            byte[] flipped = log.clone();
            flipped[at + (log.length - at) % SECTOR / 2] ^= 4;
            for (byte[] damaged : List.of(flipped, Arrays.copyOf(log, at), mixed(log, new byte[0], at, at + SECTOR))) {
                files.put(LOG, damaged);
                PersistentState found = opened(files, false);
                assertThat(found).as("sector at %s", at).isIn(null, last.standing);
                forgotten += found == null ? 1 : 0;
            }
        }
        assertThat(forgotten).isGreaterThan(log.length / SECTOR);
    }

    @Test
    void aNameThatIsFlippedNamesNoEmptyStore() throws IOException {
        Map<String, byte[]> files = new TreeMap<>(moments[3].files);
        for (String name : List.of("0\n", "3\n", "q\n", "")) {
            files.put("current", name.getBytes());
            assertThat(opened(files, false)).as(name).isNull();
        }
        files.putAll(moments[3].files);
        files.put(WITNESS, new byte[0]);
        assertThat(opened(files, false)).isEqualTo(moments[3].standing);
    }

    @Test
    void noFileIsMappedAndAnEmptiedFolderTakesNoWrites() throws IOException {
        Path copy = folder.resolve("emptied");
        Store store = new XodusStore(copy);
        store.write(StoreContract.whole(1, StoreContract.item("a", 1, 3_000_000)));
        store.write(promise(2));
        store.load();
        Path maps = Path.of("/proc/self/maps");
        if (Files.exists(maps)) {
            assertThat(Files.readAllLines(maps)).noneMatch(line -> line.contains(copy.toString()));
        }
        for (String name : DurableDirectories.names(copy)) {
            new DurableDirectories().delete(copy.resolve(name));
        }
        for (int i = 3; i < 6; i++) {
            StorageUpdate change = promise(i);
            assertThatThrownBy(() -> store.write(change)).isInstanceOf(IOException.class);
        }
        store.close();
        try (Store anew = new XodusStore(copy)) {
            assertThat(anew.load()).isEmpty();
        }
    }

    @Test
    void logsThatAreGoneTakeNoWrites() throws IOException {
        Path copy = folder.resolve("emptied");
        try (Store store = new XodusStore(copy)) {
            store.write(StoreContract.whole(1, StoreContract.item("a", 1, 3)));
            for (String name : DurableDirectories.names(copy.resolve("1"))) {
                Files.delete(copy.resolve("1").resolve(name));
            }
            assertThatThrownBy(() -> store.write(promise(2))).isInstanceOf(IOException.class);
            assertThatThrownBy(() -> store.write(promise(3))).isInstanceOf(IOException.class);
        }
    }
}
