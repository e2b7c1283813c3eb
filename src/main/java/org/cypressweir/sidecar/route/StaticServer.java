package org.cypressweir.sidecar.route;

import java.net.InetSocketAddress;
import java.util.List;
import org.cypressweir.common.util.Ids;
import org.cypressweir.loadbalancing.LoadBalancer.Phase;
import org.cypressweir.loadbalancing.LoadBalancer.Server;

/**
 * A server that the file names.
 *
 * @param id unique in its pool
 * @param zone a zone of the settings, or null
 * @param model a model of the settings, or null
 * @param cell the group that drops repeats together, from 0
 * @param weight its capacity, 1 being usual
 */
public record StaticServer(String id, InetSocketAddress endpoint, String zone, String model, int cell, double weight) {

    /** Its line on a list; zones and models are numbered as in the settings, -1 for none. */
    public Server line(List<String> zones, List<String> models) {
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
