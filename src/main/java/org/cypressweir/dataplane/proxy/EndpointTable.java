package org.cypressweir.dataplane.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cypressweir.loadbalancing.LoadBalancer;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * The endpoints of one service by the ids under which the load balancer knows them, with the start time of each
 * instance. The start time, and with it the slow start, stays the same for as long as the instance is in the list.
 *
 * <p>Not thread-safe: used on the event loop alone. Lives as long as its {@link ServiceRequestHandler}. Times are in
 * microseconds.
 */
final class EndpointTable {

    private final long slowStartMicros;
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Long> startTimes = new HashMap<>();

    EndpointTable(long slowStartMicros) {
        this.slowStartMicros = slowStartMicros;
    }

    /**
     * Replaces the endpoints.
     *
     * @param warmAt by instance, when its slow start ends; 0 or absent if it has none
     * @return the endpoints in the form that the load balancer takes
     */
    List<Server> update(long now, List<Endpoint> list, List<String> zones, Map<String, Long> warmAt) {
        endpoints.clear();
        List<Server> servers = new ArrayList<>();
        for (Endpoint endpoint : list) {
            endpoints.put(endpoint.id(), endpoint);
            long startedAt = startTime(now, endpoint.instanceId(), warmAt);
            servers.add(new Server(
                    endpoint.id(), zones.indexOf(endpoint.zone()), 0, 0, LoadBalancer.Phase.READY, startedAt, 1));
        }
        startTimes.keySet().retainAll(list.stream().map(Endpoint::instanceId).toList());
        return servers;
    }

    private long startTime(long now, String instanceId, Map<String, Long> warmAt) {
        long warm = warmAt.getOrDefault(instanceId, 0L);
        return startTimes.computeIfAbsent(instanceId, id -> warm > now ? warm - slowStartMicros : 0);
    }

    /** The endpoint with this id; null if it was removed. */
    Endpoint find(long id) {
        return endpoints.get(id);
    }

    boolean isEmpty() {
        return endpoints.isEmpty();
    }
}
