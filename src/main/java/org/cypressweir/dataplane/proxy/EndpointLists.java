package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.cypressweir.common.util.Ids;
import org.cypressweir.controlplane.registry.ApplicationInstance;
import org.cypressweir.controlplane.registry.EndpointDirectory;
import org.cypressweir.controlplane.registry.ProxyRegistration;

/**
 * Builds the endpoint list of each service, and the list of peers to connect to, from the directory of all proxies.
 * Used on the event loop alone.
 */
final class EndpointLists {

    private final EndpointDirectory directory;
    private final Supplier<ProxyRegistration> ownRegistration;
    private final PeerConnections peers;
    private final ServiceHandlers handlers;
    private final RolloutRouting rollouts;
    private boolean isStale = true;

    /** @param ownRegistration used instead of the directory's entry for this proxy, which may be older */
    EndpointLists(
            EndpointDirectory directory,
            Supplier<ProxyRegistration> ownRegistration,
            PeerConnections peers,
            ServiceHandlers handlers,
            RolloutRouting rollouts) {
        this.rollouts = rollouts;
        this.directory = directory;
        this.ownRegistration = ownRegistration;
        this.peers = peers;
        this.handlers = handlers;
    }

    /** Marks the lists as outdated, since something that they are built from has changed. */
    void markStale() {
        isStale = true;
    }

    /** Rebuilds the lists if the directory has changed or they were marked stale. */
    void refresh(long now) {
        if (directory.merge(now) || isStale) {
            isStale = false;
            rebuild();
        }
    }

    private void rebuild() {
        Set<String> peerAddresses = new HashSet<>();
        Map<String, List<Endpoint>> endpoints = new HashMap<>();
        Map<String, Long> warmAt = new HashMap<>();
        ProxyRegistration own = ownRegistration.get();
        for (ProxyRegistration known : directory.all()) {
            boolean isOwn = known.name().equals(own.name());
            ProxyRegistration registration = isOwn ? own : known;
            if (!isOwn) {
                peerAddresses.add(registration.address());
            }
            add(registration, endpoints, warmAt);
        }
        rollouts.limitTargets(endpoints);
        peers.updatePeers(peerAddresses);
        handlers.updateEndpoints(endpoints, warmAt);
    }

    private void add(ProxyRegistration registration, Map<String, List<Endpoint>> endpoints, Map<String, Long> warmAt) {
        ApplicationInstance instance = registration.instance();
        if (instance == null) {
            return;
        }
        String service = rollouts.groupOf(instance.service(), instance.version());
        if (service == null) {
            return;
        }
        handlers.handler(service, false);
        handlers.handler(service, true);
        if (registration.acceptsRequests() && peers.reaches(registration)) {
            endpoints
                    .computeIfAbsent(service, name -> new ArrayList<>())
                    .add(new Endpoint(
                            Ids.of(instance.id()),
                            registration.name(),
                            registration.incarnation(),
                            registration.address(),
                            instance.id(),
                            registration.zone()));
            warmAt.put(instance.id(), instance.warmAt());
        }
    }
}
