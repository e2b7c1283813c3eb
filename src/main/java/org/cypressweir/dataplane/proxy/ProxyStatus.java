package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cypressweir.common.diagnostics.ItemListing;
import org.cypressweir.common.transport.JsonCodec;
import org.cypressweir.common.transport.PeerConnection;
import org.cypressweir.controlplane.configuration.TenantConfiguration;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;
import org.cypressweir.dataplane.http.upstream.UpstreamLoad;
import org.cypressweir.dataplane.quota.DemandMeter;

/**
 * The state of a proxy in the form that operators see. Built anew for each call: the caller adds the parts in the order
 * in which they are shown. The names in it are fixed, as they are part of the state call's format.
 */
final class ProxyStatus {

    private final long now;
    private final RoutingTable routingTable;
    private final Map<String, Object> state;

    ProxyStatus(long now, String name, String controlAddress, String address, RoutingTable routingTable) {
        this.now = now;
        this.routingTable = routingTable;
        state = JsonCodec.map(
                "kind",
                "pilot",
                "name",
                name,
                "control",
                controlAddress,
                "address",
                address,
                "stamp",
                routingTable.version().toString(),
                "items",
                routingTable.configuration().size());
    }

    /** Adds all controllers, each with whether messages are being received from it. */
    void putControllers(ControllerClient client) {
        List<Object> controllers = new ArrayList<>();
        client.controllers()
                .forEach((address, isActive) -> controllers.add(JsonCodec.map(
                        "address", address, "control", client.controlAddress(address), "heard", isActive)));
        state.put("harbours", controllers);
    }

    /** Adds the peers that this proxy connects to. */
    void putPeers(PeerConnections connections) {
        List<Object> peers = new ArrayList<>();
        connections.addresses().stream().sorted().forEach(address -> {
            PeerConnection connection = connections.connection(address);
            peers.add(JsonCodec.map(
                    "address",
                    address,
                    "line",
                    connection != null,
                    "down",
                    connections.isUnreachable(address),
                    "ageMs",
                    connection == null ? null : (now - connection.lastReceivedMicros()) / 1000));
        });
        state.put("peers", peers);
    }

    /** Adds all known proxies, each with its address for operators. */
    void putProxies(EndpointDirectory directory) {
        List<Object> proxies = new ArrayList<>();
        for (ProxyRegistration proxy : directory.all()) {
            proxies.add(JsonCodec.map("name", proxy.name(), "address", proxy.address(), "control", proxy.control()));
        }
        state.put("pilots", proxies);
    }

    /** Adds all known application instances by service, each with whether requests are sent to it. */
    void putServices(EndpointDirectory directory, ProxyRegistration own, PeerConnections peers) {
        Map<String, List<Object>> services = new TreeMap<>();
        for (ProxyRegistration known : directory.all()) {
            boolean isOwn = known.name().equals(own.name());
            ProxyRegistration registration = isOwn ? own : known;
            if (registration.instance() != null) {
                boolean isSilent = !isOwn && peers.forwarder().isSilent(registration.address());
                services.computeIfAbsent(registration.instance().service(), service -> new ArrayList<>())
                        .add(describe(registration, peers.reaches(registration), isSilent));
            }
        }
        state.put("services", services);
    }

    private static Map<String, Object> describe(ProxyRegistration registration, boolean isReachable, boolean isSilent) {
        ApplicationInstance instance = registration.instance();
        return JsonCodec.map(
                "pilot", registration.name(),
                "zone", registration.zone(),
                "server", instance.id(),
                "slots", instance.slots(),
                "draining", instance.draining(),
                "leaving", registration.shuttingDown(),
                "line", isReachable,
                "silent", isSilent,
                "chosen", isReachable && registration.acceptsRequests());
    }

    /** Adds the application instance beside this proxy. */
    void putOwnInstance(ProxyRegistration own, UpstreamLoad load) {
        ApplicationInstance instance = own.instance();
        state.put(
                "own",
                JsonCodec.map(
                        "server", instance == null ? null : instance.id(),
                        "service", instance == null ? null : instance.service(),
                        "draining", instance != null && instance.draining(),
                        "leaving", own.shuttingDown(),
                        "running", load.running(),
                        "waiting", load.waiting(),
                        "slots", load.concurrency()));
    }

    /**
     * Adds the requests in flight.
     *
     * @param forwarded attempts in flight at other proxies
     */
    void putRequests(int open, int forwarded, Map<String, ServiceRequestHandler> handlers) {
        Map<String, Object> byService = new TreeMap<>();
        handlers.forEach((service, handler) -> byService.put(service, handler.inFlightCount()));
        state.put("requests", JsonCodec.map("open", open, "hops", forwarded, "services", byService));
    }

    /** Adds the proxy's own error responses since the start, by kind of error. */
    void putLocalResponses(Map<String, Long> rejectionCounts, Map<String, ServiceRequestHandler> handlers) {
        Map<String, Long> counts = new TreeMap<>(rejectionCounts);
        for (ServiceRequestHandler handler : handlers.values()) {
            handler.localResponseCounts().forEach((error, count) -> counts.merge(error.name(), count, Long::sum));
        }
        state.put("refusals", counts);
    }

    /** Adds the tenants with their rate limits and their demand at this proxy, in requests per second. */
    void putTenants(DemandMeter meter) {
        Map<String, Double> demand = meter.demand(now);
        List<Object> tenants = new ArrayList<>();
        for (TenantConfiguration tenant : TenantConfiguration.all(routingTable.configuration())) {
            tenants.add(JsonCodec.map(
                    "tenant", tenant.name(),
                    "asked", demand.getOrDefault(tenant.name(), 0.0),
                    "rate", tenant.ratePerSecond(),
                    "burst", tenant.burst()));
        }
        state.put("tenants", tenants);
    }

    Map<String, Object> toMap(boolean withItems) {
        if (withItems) {
            state.put("list", ItemListing.of(routingTable.configuration()));
        }
        return state;
    }
}
