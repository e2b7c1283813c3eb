package org.cypressweir.sidecar;

import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.cypressweir.testkit.PeerStub;

/**
 * How long server lists block the event loop: a complete list of 8,000 servers sent to a running sidecar, then another
 * with 400 of them replaced, then 1,000 changes a second, 100 at a time, for 5 s. A probe submits a task to the loop
 * every 0.25 ms. The first two of six rounds are warm-up.
 */
public final class ListBench {

    private static final int SERVERS = 8_000;

    private ListBench() {}

    private static String entry(int number, String state) {
        return "{'uid':'u" + number
                + "','endpoint':'127.0.0.1:9','az':'a','model':'m','pod_group':0,'state':'"
                + state + "','boot_ms':0}";
    }

    private static String list(int revision, boolean all, List<String> entries) {
        return Harness.json("{'rev':" + revision + ",'all':" + all + ",'targets':[" + String.join(",", entries) + "]}");
    }

    public static void main(String[] args) throws Exception {
        for (int round = 0; round < 6; round++) {
            try (PeerStub server = new PeerStub(PeerStub.serves("ok"));
                    Harness harness = new Harness(Files.createTempDirectory("lists"), server).start()) {
                AtomicLong longestDelay = new AtomicLong();
                Thread probe = new Thread(() -> probe(harness, longestDelay));
                probe.setDaemon(true);
                probe.start();
                PeerStub.ReceivedRequest pendingRequest = harness.discovery.take();
                for (int i = 0; i < 50; i++) {
                    harness.client().search(2_000).answer();
                }
                Thread.sleep(300);
                long longestWhenQuiet = longestDelay.getAndSet(0);
                List<String> entries = new ArrayList<>();
                for (int i = 0; i < SERVERS; i++) {
                    entries.add(entry(i, "in_service"));
                }
                String whole = list(7, true, entries);
                long since = System.nanoTime();
                pendingRequest.reply("200 OK", "", whole);
                pendingRequest = harness.discovery.take();
                while (harness.loop.submit(() -> harness.sidecar.knownServers()).get() < SERVERS) {
                    Thread.sleep(1);
                }
                long elapsedNanos = System.nanoTime() - since;
                long longestAtList = longestDelay.getAndSet(0);
                for (int i = 0; i < 400; i++) {
                    entries.set(i * 20, entry(SERVERS + i, "in_service"));
                }
                pendingRequest.reply("200 OK", "", list(8, true, entries));
                pendingRequest = harness.discovery.take();
                Thread.sleep(500);
                long longestAtSecondList = longestDelay.getAndSet(0);
                SplittableRandom random = new SplittableRandom(round);
                for (int change = 0; change < 50; change++) {
                    List<String> changed = new ArrayList<>();
                    for (int i = 0; i < 100; i++) {
                        changed.add(
                                entry(random.nextInt(SERVERS), random.nextBoolean() ? "terminating" : "in_service"));
                    }
                    pendingRequest.reply("200 OK", "", list(9 + change, false, changed));
                    pendingRequest = harness.discovery.take();
                    Thread.sleep(95);
                }
                System.out.printf(
                        "round %d: %d kB of list known after %.0f ms; longest stop of the loop"
                                + " %.1f ms quiet,"
                                + " %.1f ms at the list, %.1f ms at another, %.1f ms at 1,000 changes a second%n",
                        round,
                        whole.length() / 1024,
                        elapsedNanos / 1e6,
                        longestWhenQuiet / 1e6,
                        longestAtList / 1e6,
                        longestAtSecondList / 1e6,
                        longestDelay.get() / 1e6);
            }
        }
        System.exit(0);
    }

    private static void probe(Harness harness, AtomicLong longestDelay) {
        try {
            while (true) {
                CountDownLatch turn = new CountDownLatch(1);
                long since = System.nanoTime();
                harness.loop.execute(turn::countDown);
                turn.await();
                long elapsedNanos = System.nanoTime() - since;
                longestDelay.accumulateAndGet(elapsedNanos, Math::max);
                Thread.sleep(0, 250_000);
            }
        } catch (InterruptedException | RuntimeException e) {
            // The loop has ended.
        }
    }
}
