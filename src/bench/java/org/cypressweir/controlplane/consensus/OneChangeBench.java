package org.cypressweir.controlplane.consensus;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.cypressweir.controlplane.storage.Store;
import org.cypressweir.controlplane.storage.XodusStore;
import org.cypressweir.testkit.ThreeReplicas;

/** Measures the cost of one change at three replicas with stores on disk, in configurations of several sizes. */
public final class OneChangeBench {

    private static final int CHANGES = 60;
    /** After how many changes of the same item one more is measured. */
    private static final int[] EARLIER_CHANGES = {8, 64, 256, 600};

    private OneChangeBench() {}

    private static String tenants(int from, int to, int version) {
        return "{\"upsert\":{\"tenantTable\":{"
                + IntStream.range(from, to)
                        .mapToObj(i -> "\"t" + i
                                + "\":{\"apiKeys\":[\"key-" + i + "-" + version + "\"],\"configVersion\":\"r" + version
                                + "\"}")
                        .collect(Collectors.joining(","))
                + "}}}";
    }

    private static long size(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            long size = 0;
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                size += Files.size(file);
            }
            return size;
        }
    }

    /** Measures the cost of one more change of an item that has changed many times. */
    private static void measureRepeatedChanges(ThreeReplicas replicas, Path firstFolder) throws IOException {
        int version = CHANGES + 3;
        for (int earlierChanges : EARLIER_CHANGES) {
            for (; version < CHANGES + 3 + earlierChanges; version++) {
                replicas.submit(tenants(0, 1, version));
            }
            long bytesSent = replicas.sentBytes();
            long bytesOnDisk = size(firstFolder);
            replicas.submit(tenants(0, 1, version));
            System.out.printf(
                    "  one more change after %d changes of an item: %d bytes sent, %d bytes on a disk%n",
                    earlierChanges, replicas.sentBytes() - bytesSent, size(firstFolder) - bytesOnDisk);
            version++;
        }
    }

    /** Arguments: the folder for the stores, and the numbers of items to measure with. */
    public static void main(String[] args) throws IOException {
        String[] arguments = String.join(" ", args).split(" ");
        Path folder = Files.createTempDirectory(Path.of(arguments[0]), "one-change");
        for (int a = 1; a < arguments.length; a++) {
            int items = Integer.parseInt(arguments[a]);
            List<Store> stores = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                stores.add(new XodusStore(folder.resolve(items + "-" + i)));
            }
            ThreeReplicas replicas = new ThreeReplicas(stores);
            long startNanos = System.nanoTime();
            replicas.submit(tenants(0, items, 1));
            long loadNanos = System.nanoTime() - startNanos;
            Path firstFolder = folder.resolve(items + "-0");
            long configurationBytes = size(firstFolder);
            replicas.submit(tenants(items / 2, items / 2 + 1, 2));
            long bytesOnDisk = size(firstFolder);
            long bytesSent = replicas.sentBytes();
            long messages = replicas.messages();
            long writes = replicas.writes();
            long[] micros = new long[CHANGES];
            for (int i = 0; i < CHANGES; i++) {
                int item = items * i / CHANGES;
                startNanos = System.nanoTime();
                replicas.submit(tenants(item, item + 1, 3 + i));
                micros[i] = (System.nanoTime() - startNanos) / 1_000;
            }
            Arrays.sort(micros);
            System.out.printf(
                    "%d items: full configuration %d bytes in %d ms; one change: %d messages, %d bytes sent, "
                            + "%d writes, %d bytes on a disk, median %d us%n",
                    items,
                    configurationBytes,
                    loadNanos / 1_000_000,
                    (replicas.messages() - messages) / CHANGES,
                    (replicas.sentBytes() - bytesSent) / CHANGES,
                    (replicas.writes() - writes) / CHANGES,
                    (size(firstFolder) - bytesOnDisk) / CHANGES,
                    micros[CHANGES / 2]);
            measureRepeatedChanges(replicas, firstFolder);
            for (Store store : stores) {
                store.close();
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
