package org.cypressweir.controlplane.controller;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.cypressweir.common.transport.HollowPeerConnection;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.loadbalancing.HollowFleet;

/**
 * One harbour's news desk with so many hollow pilots: its real register, logs and parcels, on lines that end
 * nowhere. Processor time is this thread's; what the system spends on writing and reading is not in it.
 */
public final class UpdatePublisherBench {

    private static final int TENANTS = 1_500;
    /** Tenants whose rate a pilot tells anew in a telling, and tellings a second. */
    private static final int TOLD = 2;

    private static final int TELLINGS = 5;
    private static final List<String> CREW = List.of(
            "10.1.0.1:21700", "10.1.0.2:21700", "10.1.0.3:21700", "10.1.0.4:21700", "10.1.0.5:21700", "10.1.0.6:21700");

    private final int n;
    private final SplittableRandom random;
    private final Map<String, Double> found = new LinkedHashMap<>();
    private final HollowPeerConnection.SentCount count = new HollowPeerConnection.SentCount();
    private long now = 1_000_000_000_000L;
    private final UpdatePublisher desk = new UpdatePublisher(() -> now, 7, "10.1.0.1:21790", () -> 0);
    private final List<PeerConnection> lines = new ArrayList<>();
    private final long[] numbers;
    private int version = 1;

    private UpdatePublisherBench(int n, long seed) {
        this.n = n;
        random = new SplittableRandom(seed);
        numbers = new long[n];
    }

    private void hear(int i, Map<String, Object> head) {
        byte[] text = JsonCodec.bytes(head);
        try {
            desk.heard(lines.get(i), JsonCodec.read(text, 0, text.length));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void berth(int i) {
        ProxyRegistration berth = HollowFleet.berth(i, numbers[i]);
        hear(i, JsonCodec.map("t", "berth", "berth", berth.toMap(now)));
    }

    private void follow(int i, long life, long place) {
        hear(i, JsonCodec.map("t", "follow", "life", life, "place", place));
    }

    /** What a pilot says on a new line, in its order. */
    private void comes(int i) {
        desk.welcome(lines.get(i), "side-" + i);
        berth(i);
        follow(i, 0, -1);
    }

    /** Measures one of them: its time, and what is sent for it. */
    private void measure(String what, int rounds, Runnable one) {
        double micros = HollowFleet.micros(rounds, one);
        long parcels = count.frames;
        long bytes = count.bytes;
        one.run();
        found.put(what + "_us", micros);
        found.put(what + "_parcels", (double) (count.frames - parcels));
        found.put(what + "_bytes", (double) (count.bytes - bytes));
    }

    private Map<String, Double> run() {
        Configuration[] manifest = {HollowFleet.manifest()};
        desk.show(new ProposalNumber(1, CREW.get(0)), manifest[0], CREW);
        for (int i = 0; i < n; i++) {
            lines.add(HollowPeerConnection.of(() -> now, count));
        }
        long empty = HollowFleet.heap();
        long begun = System.nanoTime();
        for (int i = 0; i < n; i++) {
            comes(i);
        }
        found.put("all_come_ms", (System.nanoTime() - begun) / 1e6);
        found.put("all_come_bytes", (double) count.bytes);
        for (int i = 0; i < n; i++) {
            Map<String, Object> asked = new LinkedHashMap<>();
            for (int k = 0; k < 20; k++) {
                asked.put("tenant-" + random.nextInt(TENANTS), 1 + random.nextInt(100) / 10.0);
            }
            hear(i, JsonCodec.map("t", "tally", "asked", asked, "whole", true));
            if (i % HollowFleet.HARBOURS == 0) {
                hear(i, JsonCodec.map("t", "sums", "on", true));
            }
        }
        found.put("heap_bytes", (double) (HollowFleet.heap() - empty));
        measure("beat", 2_000, () -> berth(random.nextInt(n)));
        measure("change", Math.max(40, 100_000 / n), () -> {
            int i = random.nextInt(n);
            numbers[i]++;
            berth(i);
        });
        measure("whole", Math.max(20, 20_000 / n), () -> follow(random.nextInt(n), 0, -1));
        measure("tick", 500, desk::tick);
        measure("tally", 2_000, () -> tally(random.nextInt(n)));
        measure("tallySecond", 5, () -> {
            for (int k = 0; k < TELLINGS; k++) {
                for (int i = 0; i < n; i++) {
                    tally(i);
                }
                desk.tellTallies();
            }
        });
        measure("configuration", 20, () -> {
            version++;
            String had = desk.editions().stamp().toString();
            manifest[0] = HollowFleet.next(manifest[0], version);
            desk.show(new ProposalNumber(version, CREW.get(0)), manifest[0], CREW);
            for (int i = 0; i < n; i++) {
                hear(i, JsonCodec.map("t", "want", "have", had));
            }
        });
        measure(
                "wholeConfiguration",
                5,
                () -> hear(0, JsonCodec.map("t", "want", "have", ProposalNumber.ZERO.toString())));
        zoneLost();
        return found;
    }

    /** One zone's lines end at once, and their pilots are taken for gone. */
    private void zoneLost() {
        long bytes = count.bytes;
        long parcels = count.frames;
        long begun = System.nanoTime();
        for (int i = 0; i < n; i += HollowFleet.ZONES) {
            desk.lost(lines.get(i));
        }
        now += 310_000;
        desk.tick();
        found.put("zoneLost_us", (System.nanoTime() - begun) / 1e3);
        found.put("zoneLost_parcels", (double) (count.frames - parcels));
        found.put("zoneLost_bytes", (double) (count.bytes - bytes));
    }

    private void tally(int i) {
        Map<String, Object> asked = new LinkedHashMap<>();
        for (int k = 0; k < TOLD; k++) {
            asked.put("tenant-" + random.nextInt(TENANTS), 1 + random.nextInt(100) / 10.0);
        }
        hear(i, JsonCodec.map("t", "tally", "asked", asked, "whole", false));
    }

    /** A seed, and numbers of pilots. */
    public static void main(String[] args) throws Exception {
        HollowFleet.run(UpdatePublisherBench.class, args, (n, seed) -> new UpdatePublisherBench(n, seed).run());
    }
}
