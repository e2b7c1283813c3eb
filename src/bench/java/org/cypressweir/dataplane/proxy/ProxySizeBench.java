package org.cypressweir.dataplane.proxy;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.util.Ids;
import org.cypressweir.common.util.Json;
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.cypressweir.loadbalancing.HollowFleet;

/**
 * One pilot's state and work with so many servers in 220 services and six harbours that tell of them: the
 * real directory, ways to services, configuration and quotas, without lines. Processor time is this thread's.
 */
public final class ProxySizeBench {

    private static final int TENANTS = 200;
    private static final long KEEP_VIEW = 3_000_000;
    private static final List<String> ZONES =
            IntStream.range(0, HollowFleet.ZONES).mapToObj(i -> "zone-" + i).toList();

    private final int n;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<String, Double> found = new LinkedHashMap<>();
    private final long[] numbers;
    private final Map<String, ServiceRequestHandler> helms = new HashMap<>();
    private final Map<String, ServiceRequestHandler> inner = new HashMap<>();
    private final long now = 1_000_000_000_000L;
    private EndpointDirectory directory = new EndpointDirectory(KEEP_VIEW);
    private RoutingTable bearings = RoutingTable.none();
    private final QuotaShares quotas = new QuotaShares();

    private ProxySizeBench(int n, long seed, EventLoop loop) {
        this.n = n;
        this.loop = loop;
        random = new SplittableRandom(seed);
        numbers = new long[n];
    }

    private byte[] roster(boolean whole, List<Integer> which) {
        List<Object> berths = new ArrayList<>();
        which.forEach(i -> berths.add(HollowFleet.berth(i, numbers[i]).toMap(now)));
        return JsonCodec.bytes(JsonCodec.map(
                "t", "roster", "life", 7, "place", 1, "whole", whole, "berths", berths, "gone", List.of()));
    }

    /** As {@link ControllerClient} takes a roster. */
    private void told(int harbour, byte[] text) {
        try {
            Map<String, Object> head = JsonCodec.read(text, 0, text.length);
            List<ProxyRegistration> berths = new ArrayList<>();
            for (Object one : Json.array(head, "berths")) {
                berths.add(ProxyRegistration.of((Map<?, ?>) one, now));
            }
            directory.updateView("10.1.0." + harbour, Json.flag(head, "whole"), berths, List.of());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ServiceRequestHandler helm(Map<String, ServiceRequestHandler> ways, String service) {
        return ways.computeIfAbsent(
                service,
                s -> new ServiceRequestHandler(
                        s,
                        loop,
                        () -> now,
                        null,
                        "side-0",
                        0,
                        ZONES,
                        ServiceRequestHandler.budget(10_000_000, 1, 0.1)));
    }

    /** As {@link Proxy} makes its lists anew whenever anything has changed; without its lines to pilots. */
    private void lists() {
        Map<String, List<Endpoint>> targets = new HashMap<>();
        Map<String, Long> warm = new HashMap<>();
        for (ProxyRegistration berth : directory.all()) {
            helm(helms, berth.instance().service());
            helm(inner, berth.instance().service());
            if (berth.acceptsRequests()) {
                targets.computeIfAbsent(berth.instance().service(), s -> new ArrayList<>())
                        .add(new Endpoint(
                                Ids.of(berth.instance().id()),
                                berth.name(),
                                berth.incarnation(),
                                berth.address(),
                                berth.instance().id(),
                                berth.zone()));
                warm.put(berth.instance().id(), berth.instance().warmAt());
            }
        }
        for (Map<String, ServiceRequestHandler> ways : List.of(helms, inner)) {
            ways.forEach((service, helm) -> helm.servers(targets.getOrDefault(service, List.of()), ZONES, warm));
        }
    }

    private void heap(String what, Runnable made) {
        long before = HollowFleet.heap();
        made.run();
        found.put(what + "_heap_bytes", (double) (HollowFleet.heap() - before));
    }

    private Map<String, Double> run() {
        byte[] whole = roster(true, IntStream.range(0, n).boxed().toList());
        found.put("whole_bytes", (double) whole.length);
        // What stays of a first roster for good is not the directory's.
        told(0, whole);
        directory.merge(now);
        directory = new EndpointDirectory(KEEP_VIEW);
        heap("directory", () -> {
            for (int h = 0; h < HollowFleet.HARBOURS; h++) {
                told(h, whole);
            }
            directory.merge(now);
        });
        heap("ways", this::lists);
        Configuration[] manifest = {null};
        heap("configuration", () -> {
            manifest[0] = HollowFleet.manifest();
            bearings = bearings.next(new ProposalNumber(1, "h"), manifest[0]);
        });
        heap("quotas", () -> IntStream.range(0, TENANTS).forEach(i -> quotas.tryAcquire(now, "tenant-" + i, 50, 20)));
        quotas.setProxyCount(n);
        found.put("whole_us", HollowFleet.micros(Math.max(10, 20_000 / n), () -> told(0, whole)));
        found.put("change_us", HollowFleet.micros(Math.max(20, 20_000 / n), () -> {
            int i = random.nextInt(n);
            numbers[i]++;
            byte[] news = roster(false, List.of(i));
            for (int h = 0; h < HollowFleet.HARBOURS; h++) {
                told(h, news);
            }
            directory.merge(now);
        }));
        found.put("lists_us", HollowFleet.micros(Math.max(20, 20_000 / n), this::lists));
        int[] version = {1};
        found.put("configuration_us", HollowFleet.micros(20, () -> {
            version[0]++;
            manifest[0] = HollowFleet.next(manifest[0], version[0]);
            bearings = bearings.next(new ProposalNumber(version[0], "h"), manifest[0]);
        }));
        found.put("tally_us", HollowFleet.micros(200, () -> {
            IntStream.range(0, 20).forEach(i -> quotas.tryAcquire(now, "tenant-" + random.nextInt(TENANTS), 50, 20));
            quotas.takeChangedDemand(now, false);
        }));
        found.put("tallyWhole_bytes", (double) JsonCodec.bytes(
                        JsonCodec.map("t", "tally", "asked", quotas.takeChangedDemand(now, true), "whole", true))
                .length);
        return found;
    }

    /** A seed, and numbers of servers. */
    public static void main(String[] args) throws Exception {
        EventLoop loop = new DefaultEventLoop();
        HollowFleet.run(
                ProxySizeBench.class, args, (n, seed) -> loop.submit(() -> new ProxySizeBench(n, seed, loop).run())
                        .get());
        loop.shutdownGracefully();
    }
}
