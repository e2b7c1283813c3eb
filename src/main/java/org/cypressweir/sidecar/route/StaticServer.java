package org.cypressweir.sidecar.route;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * A server defined in the operators' file.
 *
 * @param id unique in its pool
 * @param zone a zone of the settings, or null
 * @param model a model of the settings, or null
 * @param cell index of the group that deduplicates requests together, from 0
 * @param weight its relative capacity; the default is 1
 */
public record StaticServer(String id, InetSocketAddress endpoint, String zone, String model, int cell, double weight) {

    /** The server as the load balancer lists it; zones and models are indexes into the settings, -1 for none. */
    public Server toServer(List<String> zones, List<String> models) {
        return new Server(
                Ids.of(id),
                zone == null ? -1 : zones.indexOf(zone),
                model == null ? -1 : models.indexOf(model),
                cell,
                Phase.READY,
                0,
                weight);
    }
}
