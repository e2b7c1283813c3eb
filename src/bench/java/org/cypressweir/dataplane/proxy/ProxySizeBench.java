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
import org.cypressweir.controlplane.configuration.Configuration;
import org.cypressweir.controlplane.consensus.ProposalNumber;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.quota.QuotaShares;
import org.cypressweir.loadbalancing.HollowFleet;

/**
 * The memory and processor time of one proxy with so many application instances in 220 services and updates of six
 * controllers: the real directory, request handlers, configuration and quotas, without connections. Processor time is this thread's.
 */
public final class ProxySizeBench {

    private static final int TENANTS = 200;
    private static final long RETENTION_MICROS = 3_000_000;
    private static final List<String> ZONES =
            IntStream.range(0, HollowFleet.ZONES).mapToObj(i -> "zone-" + i).toList();

    private final int n;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final Map<String, Double> found = new LinkedHashMap<>();
    private final long[] numbers;
    private final Map<String, ServiceRequestHandler> tenantHandlers = new HashMap<>();
    private final Map<String, ServiceRequestHandler> internalHandlers = new HashMap<>();
    private final long now = 1_000_000_000_000L;
    private EndpointDirectory directory = new EndpointDirectory(RETENTION_MICROS);
    private RoutingTable routingTable = RoutingTable.empty();
    private final QuotaShares quotas = new QuotaShares();

    private ProxySizeBench(int n, long seed, EventLoop loop) {
        this.n = n;
        this.loop = loop;
        random = new SplittableRandom(seed);
        numbers = new long[n];
    }

    private byte[] endpointUpdate(boolean isComplete, List<Integer> proxies) {
        List<Object> registrations = new ArrayList<>();
        proxies.forEach(i -> registrations.add(HollowFleet.berth(i, numbers[i]).toMap(now)));
        return JsonCodec.bytes(JsonCodec.map(
                "t", "roster", "life", 7, "place", 1, "whole", isComplete, "berths", registrations, "gone", List.of()));
    }

    /** As {@link ControllerClient} applies an endpoint update. */
    private void receive(int controller, byte[] text) {
        try {
            Map<String, Object> head = JsonCodec.read(text, 0, text.length);
            ControllerMessage.EndpointUpdate update =
                    (ControllerMessage.EndpointUpdate) ControllerMessageCodec.decode(head, now);
            directory.updateView("10.1.0." + controller, update.isComplete(), update.registrations(), update.removed());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ServiceRequestHandler handler(Map<String, ServiceRequestHandler> handlers, String service) {
        return handlers.computeIfAbsent(
                service,
                s -> new ServiceRequestHandler(
                        s,
                        loop,
                        () -> now,
                        null,
                        "side-0",
                        0,
                        ZONES,
                        ServiceRequestHandler.retryBudget(10_000_000, 1, 0.1)));
    }

    /** As {@link Proxy} rebuilds its endpoint lists whenever anything has changed; without its connections to peers. */
    private void rebuildLists() {
        Map<String, List<Endpoint>> endpoints = new HashMap<>();
        Map<String, Long> warmAt = new HashMap<>();
        for (ProxyRegistration registration : directory.all()) {
            handler(tenantHandlers, registration.instance().service());
            handler(internalHandlers, registration.instance().service());
            if (registration.acceptsRequests()) {
                endpoints
                        .computeIfAbsent(registration.instance().service(), s -> new ArrayList<>())
                        .add(new Endpoint(
                                Ids.of(registration.instance().id()),
                                registration.name(),
                                registration.incarnation(),
                                registration.address(),
                                registration.instance().id(),
                                registration.zone()));
                warmAt.put(registration.instance().id(), registration.instance().warmAt());
            }
        }
        for (Map<String, ServiceRequestHandler> handlers : List.of(tenantHandlers, internalHandlers)) {
            handlers.forEach((service, handler) ->
                    handler.updateEndpoints(endpoints.getOrDefault(service, List.of()), ZONES, warmAt));
        }
    }

    private void measureHeap(String name, Runnable action) {
        long before = HollowFleet.heap();
        action.run();
        found.put(name + "_heap_bytes", (double) (HollowFleet.heap() - before));
    }

    private Map<String, Double> run() {
        byte[] complete = endpointUpdate(true, IntStream.range(0, n).boxed().toList());
        found.put("whole_bytes", (double) complete.length);
        // What a first endpoint update leaves in memory for good is not the directory's.
        receive(0, complete);
        directory.merge(now);
        directory = new EndpointDirectory(RETENTION_MICROS);
        measureHeap("directory", () -> {
            for (int controller = 0; controller < HollowFleet.HARBOURS; controller++) {
                receive(controller, complete);
            }
            directory.merge(now);
        });
        measureHeap("ways", this::rebuildLists);
        Configuration[] configuration = {null};
        measureHeap("configuration", () -> {
            configuration[0] = HollowFleet.manifest();
            routingTable = routingTable.next(new ProposalNumber(1, "h"), configuration[0]);
        });
        measureHeap("quotas", () -> IntStream.range(0, TENANTS)
                .forEach(i -> quotas.tryAcquire(now, "tenant-" + i, 50, 20)));
        quotas.setProxyCount(n);
        found.put("whole_us", HollowFleet.micros(Math.max(10, 20_000 / n), () -> receive(0, complete)));
        found.put("change_us", HollowFleet.micros(Math.max(20, 20_000 / n), () -> {
            int i = random.nextInt(n);
            numbers[i]++;
            byte[] update = endpointUpdate(false, List.of(i));
            for (int controller = 0; controller < HollowFleet.HARBOURS; controller++) {
                receive(controller, update);
            }
            directory.merge(now);
        }));
        found.put("lists_us", HollowFleet.micros(Math.max(20, 20_000 / n), this::rebuildLists));
        int[] version = {1};
        found.put("configuration_us", HollowFleet.micros(20, () -> {
            version[0]++;
            configuration[0] = HollowFleet.next(configuration[0], version[0]);
            routingTable = routingTable.next(new ProposalNumber(version[0], "h"), configuration[0]);
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

    /** Arguments: a seed, and numbers of application instances. */
    public static void main(String[] args) throws Exception {
        EventLoop loop = new DefaultEventLoop();
        HollowFleet.run(
                ProxySizeBench.class, args, (n, seed) -> loop.submit(() -> new ProxySizeBench(n, seed, loop).run())
                        .get());
        loop.shutdownGracefully();
    }
}
