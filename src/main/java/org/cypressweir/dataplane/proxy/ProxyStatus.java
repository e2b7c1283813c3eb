package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cypressweir.common.diagnostics.ItemListing;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.common.transport.PeerConnectionPool;
import org.cypressweir.controlplane.configuration.Item;
import org.cypressweir.controlplane.configuration.ItemType;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.quota.QuotaShares;

/** What operators are told of a pilot. */
final class ProxyStatus {

    private final long now;
    private final RoutingTable bearings;
    private final Map<String, Object> state;

    ProxyStatus(long now, String name, String control, String address, RoutingTable bearings) {
        this.now = now;
        this.bearings = bearings;
        state = JsonCodec.map(
                "kind",
                "pilot",
                "name",
                name,
                "control",
                control,
                "address",
                address,
                "stamp",
                bearings.stamp().toString(),
                "items",
                bearings.manifest().size());
    }

    void harbours(ControllerClient lookout) {
        List<Object> all = new ArrayList<>();
        lookout.harbours()
                .forEach((address, heard) -> all.add(
                        JsonCodec.map("address", address, "control", lookout.control(address), "heard", heard)));
        state.put("harbours", all);
    }

    /** Other pilots that a line is wanted to; down: refused or lost since the last line. */
    void peers(PeerConnectionPool peers, Set<String> down) {
        List<Object> all = new ArrayList<>();
        peers.addresses().stream().sorted().forEach(address -> {
            PeerConnection line = peers.connection(address);
            all.add(JsonCodec.map(
                    "address",
                    address,
                    "line",
                    line != null,
                    "down",
                    down.contains(address),
                    "ageMs",
                    line == null ? null : (now - line.lastReceivedMicros()) / 1000));
        });
        state.put("peers", all);
    }

    /** All pilots that are known of, and where each is asked. */
    void pilots(EndpointDirectory roster) {
        List<Object> all = new ArrayList<>();
        roster.all()
                .forEach(berth -> all.add(
                        JsonCodec.map("name", berth.name(), "address", berth.address(), "control", berth.control())));
        state.put("pilots", all);
    }

    /** Every server that is known of, with whether it is in the choice. */
    void servers(
            EndpointDirectory roster, ProxyRegistration own, Predicate<ProxyRegistration> reaches, PeerForwarder hops) {
        Map<String, List<Object>> services = new TreeMap<>();
        for (ProxyRegistration told : roster.all()) {
            boolean mine = told.name().equals(own.name());
            ProxyRegistration berth = mine ? own : told;
            ApplicationInstance ship = berth.instance();
            if (ship != null) {
                boolean reached = reaches.test(berth);
                services.computeIfAbsent(ship.service(), s -> new ArrayList<>())
                        .add(JsonCodec.map(
                                "pilot",
                                berth.name(),
                                "zone",
                                berth.zone(),
                                "server",
                                ship.id(),
                                "slots",
                                ship.slots(),
                                "draining",
                                ship.draining(),
                                "leaving",
                                berth.shuttingDown(),
                                "line",
                                reached,
                                "silent",
                                !mine && hops.isSilent(berth.address()),
                                "chosen",
                                reached && berth.acceptsRequests()));
            }
        }
        state.put("services", services);
    }

    void own(ProxyRegistration own, UpstreamLoad load) {
        ApplicationInstance ship = own.instance();
        state.put(
                "own",
                JsonCodec.map(
                        "server",
                        ship == null ? null : ship.id(),
                        "service",
                        ship == null ? null : ship.service(),
                        "draining",
                        ship != null && ship.draining(),
                        "leaving",
                        own.shuttingDown(),
                        "running",
                        load.running(),
                        "waiting",
                        load.waiting(),
                        "slots",
                        load.concurrency()));
    }

    /** @param hops attempts that are out at other pilots */
    void requests(int open, int hops, Map<String, ServiceRequestHandler> helms) {
        Map<String, Object> byService = new TreeMap<>();
        helms.forEach((service, helm) -> byService.put(service, helm.open()));
        state.put("requests", JsonCodec.map("open", open, "hops", hops, "services", byService));
    }

    /** Answers of the mesh's own since the start, by fault. */
    void refusals(Map<String, Long> front, Map<String, ServiceRequestHandler> helms) {
        Map<String, Long> all = new TreeMap<>(front);
        helms.values()
                .forEach(helm -> helm.counts().forEach((fault, count) -> all.merge(fault.name(), count, Long::sum)));
        state.put("refusals", all);
    }

    /** Tenants with what they may and what they ask here, a second. */
    void tenants(QuotaShares quotas) {
        Map<String, Double> asked = quotas.demand(now);
        List<Object> all = new ArrayList<>();
        for (Item item : bearings.manifest().active(ItemType.TENANTS)) {
            TenantConfiguration.of(item)
                    .forEach(t -> all.add(JsonCodec.map(
                            "tenant",
                            t.name(),
                            "asked",
                            asked.getOrDefault(t.name(), 0.0),
                            "rate",
                            t.ratePerSecond(),
                            "burst",
                            t.burst())));
        }
        state.put("tenants", all);
    }

    Map<String, Object> map(boolean items) {
        if (items) {
            state.put("list", ItemListing.of(bearings.manifest()));
        }
        return state;
    }
}
