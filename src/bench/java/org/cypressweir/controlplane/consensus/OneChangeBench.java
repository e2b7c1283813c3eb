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

/** What one change costs three copies on disks, beside so many items. */
public final class OneChangeBench {

    private static final int CHANGES = 60;
    private static final int[] HOT = {8, 64, 256, 600};

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

    /** What one more change of an item costs after so many of it. */
    private static void hot(ThreeReplicas three, Path first) throws IOException {
        int version = CHANGES + 3;
        for (int before : HOT) {
            for (; version < CHANGES + 3 + before; version++) {
                three.submit(tenants(0, 1, version));
            }
            long sent = three.sentBytes();
            long disk = size(first);
            three.submit(tenants(0, 1, version));
            System.out.printf(
                    "  an item changed %d times: %d bytes sent, %d bytes on a disk%n",
                    before, three.sentBytes() - sent, size(first) - disk);
            version++;
        }
    }

    /** The folder to work in, and how many items. */
    public static void main(String[] args) throws IOException {
        String[] given = String.join(" ", args).split(" ");
        Path folder = Files.createTempDirectory(Path.of(given[0]), "one-change");
        for (int a = 1; a < given.length; a++) {
            int items = Integer.parseInt(given[a]);
            List<Store> stores = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                stores.add(new XodusStore(folder.resolve(items + "-" + i)));
            }
            ThreeReplicas three = new ThreeReplicas(stores);
            long begun = System.nanoTime();
            three.submit(tenants(0, items, 1));
            long loaded = System.nanoTime() - begun;
            Path first = folder.resolve(items + "-0");
            long whole = size(first);
            three.submit(tenants(items / 2, items / 2 + 1, 2));
            long disk = size(first);
            long sent = three.sentBytes();
            long messages = three.messages();
            long writes = three.writes();
            long[] micros = new long[CHANGES];
            for (int i = 0; i < CHANGES; i++) {
                int item = items * i / CHANGES;
                begun = System.nanoTime();
                three.submit(tenants(item, item + 1, 3 + i));
                micros[i] = (System.nanoTime() - begun) / 1_000;
            }
            Arrays.sort(micros);
            System.out.printf(
                    "%d items: whole %d bytes in %d ms; a change: %d messages, %d bytes sent, "
                            + "%d writes, %d bytes on a disk, median %d us%n",
                    items,
                    whole,
                    loaded / 1_000_000,
                    (three.messages() - messages) / CHANGES,
                    (three.sentBytes() - sent) / CHANGES,
                    (three.writes() - writes) / CHANGES,
                    (size(first) - disk) / CHANGES,
                    micros[CHANGES / 2]);
            hot(three, first);
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
