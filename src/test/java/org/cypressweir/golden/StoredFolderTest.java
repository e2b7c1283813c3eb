package org.cypressweir.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import jetbrains.exodus.ByteIterable;
import jetbrains.exodus.env.Cursor;
import jetbrains.exodus.env.Environment;
import jetbrains.exodus.env.EnvironmentConfig;
import jetbrains.exodus.env.Environments;
import jetbrains.exodus.env.StoreConfig;
import jetbrains.exodus.env.Transaction;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemKey;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.SupersededVersion;
import org.cypressweir.controlplane.consensus.PersistentState;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.consensus.StorageUpdate;
import org.cypressweir.controlplane.storage.XodusStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The store of an acceptor that an earlier build wrote: its names, keys and values on disk are unchanged. */
class StoredFolderTest {

    private static final String STORED_FOLDER = "store/folder";
    private static final String RECORDS_BEFORE = "store/records.txt";
    private static final String RECORDS_AFTER = "store/records-after-further-change.txt";
    private static final String ENVIRONMENT_FOLDER = "1";
    private static final String WITHDRAWN_CONTENT = "-";

    private static final List<String> VOTERS = List.of("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7/1700000000001");
    private static final List<String> LATER_VOTERS = List.of("10.0.0.1:7", "10.0.0.3:7/1700000000001");
    private static final long DISK_NUMBER = 1_700_000_000_001L;
    private static final ProposalNumber ACCEPTED = new ProposalNumber(5, "10.0.0.2:7");
    private static final ProposalNumber PROMISED = new ProposalNumber(7, "10.0.0.3:7/1700000000001");
    private static final ProposalNumber LATER = new ProposalNumber(1L << 40, "10.0.0.1:7");

    private static final Item ROUTE = new Item(
            new ItemKey(ItemType.ROUTES, "orders"),
            3,
            JsonCodec.map("prefix", "/orders", "services", List.of("till", "till-2")),
            List.of(
                    new SupersededVersion(1, "0123456789abcdef0123456789abcdef"),
                    new SupersededVersion(2, WITHDRAWN_CONTENT)));
    private static final Item TENANT =
            new Item(new ItemKey(ItemType.TENANTS, "Ünïcode \"quoted\""), 9, Map.of("priority", 2L), versions(9), 4);
    private static final Item SERVICE =
            new Item(new ItemKey(ItemType.SERVICES, "till"), 1L << 50, Map.of("healthPath", "/healthz"));
    private static final Item WITHDRAWN_SERVICE = new Item(
            new ItemKey(ItemType.SERVICES, "till-2"),
            2,
            null,
            List.of(new SupersededVersion(1, "fedcba9876543210fedcba9876543210")));
    private static final Item LIMITS = new Item(ItemKey.LIMITS, 1, Map.of("perProxy", 100L));
    private static final Item LATER_LIMITS = new Item(ItemKey.LIMITS, 2, Map.of("perProxy", 200L));

    @TempDir
    Path temporary;

    private Path folder;

    @BeforeEach
    void copyStoredFolder() throws IOException {
        folder = temporary.resolve("copy");
        Path stored = Golden.path(STORED_FOLDER);
        try (Stream<Path> files = Files.walk(stored)) {
            for (Path file : files.toList()) {
                Files.copy(file, folder.resolve(stored.relativize(file).toString()));
            }
        }
    }

    private static List<SupersededVersion> versions(int count) {
        return IntStream.rangeClosed(1, count)
                .filter(version -> version < count)
                .mapToObj(version -> new SupersededVersion(version, "%016x".formatted(version)))
                .toList();
    }

    private static StorageUpdate firstChange() {
        return new StorageUpdate(
                new ProposalNumber(4, "10.0.0.1:7"),
                new ProposalNumber(4, "10.0.0.1:7"),
                VOTERS,
                List.of(ROUTE, TENANT, LIMITS),
                true,
                DISK_NUMBER);
    }

    private static StorageUpdate secondChange() {
        return new StorageUpdate(PROMISED, ACCEPTED, null, List.of(SERVICE, WITHDRAWN_SERVICE), false);
    }

    private static StorageUpdate furtherChange() {
        return new StorageUpdate(LATER, LATER, LATER_VOTERS, List.of(LATER_LIMITS), false);
    }

    private static void assertBeforeFurtherChange(PersistentState state) {
        assertThat(state.promised()).isEqualTo(PROMISED);
        assertThat(state.accepted()).isEqualTo(ACCEPTED);
        assertThat(state.voters()).isEqualTo(VOTERS);
        assertThat(state.learnedSecondHand()).isTrue();
        assertThat(state.disk()).isEqualTo(DISK_NUMBER);
        assertItems(state, ROUTE, TENANT, SERVICE, WITHDRAWN_SERVICE, LIMITS);
    }

    private static void assertAfterFurtherChange(PersistentState state) {
        assertThat(state.promised()).isEqualTo(LATER);
        assertThat(state.accepted()).isEqualTo(LATER);
        assertThat(state.voters()).isEqualTo(LATER_VOTERS);
        assertThat(state.learnedSecondHand()).isFalse();
        assertThat(state.disk()).isEqualTo(DISK_NUMBER);
        assertItems(state, ROUTE, TENANT, SERVICE, WITHDRAWN_SERVICE, LATER_LIMITS);
    }

    private static void assertItems(PersistentState state, Item... items) {
        assertThat(state.items().stream().map(Item::toText))
                .containsExactlyInAnyOrderElementsOf(
                        Stream.of(items).map(Item::toText).toList());
        assertThat(state.items().stream().map(Item::key))
                .containsExactlyInAnyOrderElementsOf(
                        Stream.of(items).map(Item::key).toList());
    }

    @Test
    void isReadAndWrittenAndReadAgain() throws IOException {
        try (XodusStore store = new XodusStore(folder)) {
            assertThat(store.damaged()).isFalse();
            assertBeforeFurtherChange(store.load().orElseThrow());
            store.write(furtherChange());
            assertAfterFurtherChange(store.load().orElseThrow());
        }
        try (XodusStore store = new XodusStore(folder)) {
            assertThat(store.quarantineReason()).isEmpty();
            assertAfterFurtherChange(store.load().orElseThrow());
        }
        assertThat(records(folder)).isEqualTo(Golden.text(RECORDS_AFTER));
    }

    @Test
    void holdsTheseRecords() throws IOException {
        assertThat(records(folder)).isEqualTo(Golden.text(RECORDS_BEFORE));
    }

    @Test
    void sameChangesWriteTheSameRecords() throws IOException {
        Path fresh = temporary.resolve("fresh");
        try (XodusStore store = new XodusStore(fresh)) {
            store.write(firstChange());
            store.write(secondChange());
        }
        assertThat(records(fresh)).isEqualTo(Golden.text(RECORDS_BEFORE));
    }

    /** The names of all files, the texts of the small ones, and every record of each Xodus store. */
    private static String records(Path folder) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String name : List.of("current", "written")) {
            text.append("file ")
                    .append(name)
                    .append(" = ")
                    .append(Files.readString(folder.resolve(name)).trim())
                    .append('\n');
        }
        text.append("files ").append(names(folder)).append('\n');
        text.append("environment ")
                .append(names(folder.resolve(ENVIRONMENT_FOLDER)))
                .append('\n');
        EnvironmentConfig config = new EnvironmentConfig();
        config.setManagementEnabled(false);
        config.setGcEnabled(false);
        config.setLogCacheUseNio(false);
        config.setLogCachePageSize(16 * 1024);
        try (Environment environment =
                Environments.newInstance(folder.resolve(ENVIRONMENT_FOLDER).toFile(), config)) {
            environment.executeInReadonlyTransaction(transaction -> environment.getAllStoreNames(transaction).stream()
                    .sorted()
                    .forEach(store -> appendStore(text, environment, transaction, store)));
        }
        return text.toString();
    }

    private static void appendStore(StringBuilder text, Environment environment, Transaction transaction, String name) {
        var store = environment.openStore(name, StoreConfig.USE_EXISTING, transaction);
        try (Cursor cursor = store.openCursor(transaction)) {
            while (cursor.getNext()) {
                text.append(name)
                        .append(" | ")
                        .append(text(cursor.getKey()))
                        .append(" | ")
                        .append(text(cursor.getValue()))
                        .append('\n');
            }
        }
    }

    private static String text(ByteIterable bytes) {
        return new String(bytes.getBytesUnsafe(), 0, bytes.getLength(), StandardCharsets.UTF_8).replace("\n", "\\n");
    }

    private static List<String> names(Path folder) throws IOException {
        List<String> names = new ArrayList<>();
        try (Stream<Path> files = Files.list(folder)) {
            files.map(file -> file.getFileName().toString())
                    .filter(name -> !name.equals("xd.lck"))
                    .sorted()
                    .forEach(names::add);
        }
        return names;
    }
}
