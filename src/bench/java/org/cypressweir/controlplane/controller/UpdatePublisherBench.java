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
 * Measures one controller's publisher with many simulated proxies: its real registry, logs and messages, on
 * connections that lead nowhere. Processor time is that of this thread; input and output by the system are not in it.
 */
public final class UpdatePublisherBench {

    private static final int TENANTS = 1_500;
    /** Tenants in one demand report of a proxy. */
    private static final int TENANTS_PER_REPORT = 2;

    private static final int REPORTS_PER_SECOND = 5;
    private static final List<String> VOTERS = List.of(
            "10.1.0.1:21700", "10.1.0.2:21700", "10.1.0.3:21700", "10.1.0.4:21700", "10.1.0.5:21700", "10.1.0.6:21700");

    private final int proxyCount;
    private final SplittableRandom random;
    private final Map<String, Double> results = new LinkedHashMap<>();
    private final HollowPeerConnection.SentCount count = new HollowPeerConnection.SentCount();
    private long now = 1_000_000_000_000L;
    private final UpdatePublisher publisher = new UpdatePublisher(() -> now, 7, "10.1.0.1:21790", () -> 0);
    private final List<PeerConnection> connections = new ArrayList<>();
    private final long[] numbers;
    private int version = 1;

    private UpdatePublisherBench(int proxyCount, long seed) {
        this.proxyCount = proxyCount;
        random = new SplittableRandom(seed);
        numbers = new long[proxyCount];
    }

    private void receive(int proxy, Map<String, Object> message) {
        byte[] text = JsonCodec.bytes(message);
        try {
            publisher.received(connections.get(proxy), JsonCodec.read(text, 0, text.length));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void register(int proxy) {
        ProxyRegistration registration = HollowFleet.berth(proxy, numbers[proxy]);
        receive(proxy, JsonCodec.map("t", "berth", "berth", registration.toMap(now)));
    }

    private void subscribe(int proxy, long incarnation, long offset) {
        receive(proxy, JsonCodec.map("t", "follow", "life", incarnation, "place", offset));
    }

    /** What a proxy sends on a new connection, in that order. */
    private void connect(int proxy) {
        publisher.connected(connections.get(proxy), "side-" + proxy);
        register(proxy);
        subscribe(proxy, 0, -1);
    }

    /** Measures one of them: its time, and what is sent for it. */
    private void measure(String name, int repetitions, Runnable operation) {
        double micros = HollowFleet.micros(repetitions, operation);
        long messages = count.frames;
        long bytes = count.bytes;
        operation.run();
        results.put(name + "_us", micros);
        results.put(name + "_parcels", (double) (count.frames - messages));
        results.put(name + "_bytes", (double) (count.bytes - bytes));
    }

    private Map<String, Double> run() {
        Configuration[] configuration = {HollowFleet.manifest()};
        publisher.committed(new ProposalNumber(1, VOTERS.get(0)), configuration[0], VOTERS);
        for (int i = 0; i < proxyCount; i++) {
            connections.add(HollowPeerConnection.of(() -> now, count));
        }
        long empty = HollowFleet.heap();
        long begun = System.nanoTime();
        for (int i = 0; i < proxyCount; i++) {
            connect(i);
        }
        results.put("all_come_ms", (System.nanoTime() - begun) / 1e6);
        results.put("all_come_bytes", (double) count.bytes);
        for (int i = 0; i < proxyCount; i++) {
            Map<String, Object> demand = new LinkedHashMap<>();
            for (int k = 0; k < 20; k++) {
                demand.put("tenant-" + random.nextInt(TENANTS), 1 + random.nextInt(100) / 10.0);
            }
            receive(i, JsonCodec.map("t", "tally", "asked", demand, "whole", true));
            if (i % HollowFleet.HARBOURS == 0) {
                receive(i, JsonCodec.map("t", "sums", "on", true));
            }
        }
        results.put("heap_bytes", (double) (HollowFleet.heap() - empty));
        measure("beat", 2_000, () -> register(random.nextInt(proxyCount)));
        measure("change", Math.max(40, 100_000 / proxyCount), () -> {
            int i = random.nextInt(proxyCount);
            numbers[i]++;
            register(i);
        });
        measure("whole", Math.max(20, 20_000 / proxyCount), () -> subscribe(random.nextInt(proxyCount), 0, -1));
        measure("tick", 500, publisher::tick);
        measure("tally", 2_000, () -> reportDemand(random.nextInt(proxyCount)));
        measure("tallySecond", 5, () -> {
            for (int k = 0; k < REPORTS_PER_SECOND; k++) {
                for (int i = 0; i < proxyCount; i++) {
                    reportDemand(i);
                }
                publisher.publishDemand();
            }
        });
        measure("configuration", 20, () -> {
            version++;
            String previous = publisher.versionLog().version().toString();
            configuration[0] = HollowFleet.next(configuration[0], version);
            publisher.committed(new ProposalNumber(version, VOTERS.get(0)), configuration[0], VOTERS);
            for (int i = 0; i < proxyCount; i++) {
                receive(i, JsonCodec.map("t", "want", "have", previous));
            }
        });
        measure(
                "wholeConfiguration",
                5,
                () -> receive(0, JsonCodec.map("t", "want", "have", ProposalNumber.ZERO.toString())));
        zoneLost();
        return results;
    }

    /** All connections from one zone are closed at once, and its proxies expire. */
    private void zoneLost() {
        long bytes = count.bytes;
        long messages = count.frames;
        long begun = System.nanoTime();
        for (int i = 0; i < proxyCount; i += HollowFleet.ZONES) {
            publisher.disconnected(connections.get(i));
        }
        now += 310_000;
        publisher.tick();
        results.put("zoneLost_us", (System.nanoTime() - begun) / 1e3);
        results.put("zoneLost_parcels", (double) (count.frames - messages));
        results.put("zoneLost_bytes", (double) (count.bytes - bytes));
    }

    private void reportDemand(int i) {
        Map<String, Object> demand = new LinkedHashMap<>();
        for (int k = 0; k < TENANTS_PER_REPORT; k++) {
            demand.put("tenant-" + random.nextInt(TENANTS), 1 + random.nextInt(100) / 10.0);
        }
        receive(i, JsonCodec.map("t", "tally", "asked", demand, "whole", false));
    }

    /** @param args a seed, and numbers of proxies */
    public static void main(String[] args) throws Exception {
        HollowFleet.run(
                UpdatePublisherBench.class, args, (proxyCount, seed) -> new UpdatePublisherBench(proxyCount, seed)
                        .run());
    }
}
